package weights_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"primrosegw/standin/weights"
)

// get calls the handler.
func get(store *weights.Store, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	store.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

// Guards against a rate that is not limited, and a Retry-After that is too
// short to help.
func TestReadsPastRateGetRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := weights.New(weights.Options{PerSecond: 0.4, Burst: 2, Bytes: 100})
		for range 2 {
			got := get(store, "/weights/sketch/3")
			assert.Equal(t, http.StatusOK, got.Code)
			assert.Equal(t, weights.Content("sketch/3", 100), got.Body.Bytes())
		}
		got := get(store, "/weights/sketch/3")
		assert.Equal(t, http.StatusTooManyRequests, got.Code)
		assert.Equal(t, "3", got.Header().Get("Retry-After"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, http.StatusOK, get(store, "/weights/sketch/3").Code)
	})
}

// Guards against weights that are the same for all versions, or made up for a
// version that does not exist.
func TestContentAndMissing(t *testing.T) {
	store := weights.New(weights.Options{Missing: []string{"sketch/9"}})
	assert.Equal(t, http.StatusNotFound, get(store, "/weights/sketch/9").Code)
	assert.NotEqual(t, weights.Content("sketch/1", 64), weights.Content("sketch/2", 64))
	assert.Len(t, get(store, "/weights/sketch/1").Body.Bytes(), 4096)
}
