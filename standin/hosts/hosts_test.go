package hosts_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/standin/hosts"
)

// send calls the handler and returns the status and the body.
func send(handler http.Handler, method, path, body string) (int, string) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

// Guards against changes that show at once, never, or in the wrong order.
func TestChangesShowAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := hosts.Host{Name: "a", LinkAddress: "127.0.0.1:1", FailureDomain: "bento", State: "live"}
		list := hosts.New(hosts.Options{Hosts: []hosts.Host{first}, Lag: 5 * time.Second})
		handler := list.Handler()
		status, _ := send(handler, http.MethodPut, "/hosts/a", `{"state":"leaving"}`)
		require.Equal(t, http.StatusNoContent, status)
		require.NoError(t, list.Set(hosts.Host{Name: "b", State: "live"}))
		time.Sleep(4999 * time.Millisecond)
		assert.Equal(t, []hosts.Host{first}, list.Hosts())
		time.Sleep(time.Millisecond)
		first.State = "leaving"
		assert.Equal(t, []hosts.Host{first, {Name: "b", State: "live"}}, list.Hosts())
		require.NoError(t, list.Set(hosts.Host{Name: "a", State: "gone"}))
		time.Sleep(5 * time.Second)
		_, body := send(handler, http.MethodGet, "/hosts", "")
		assert.JSONEq(t, `[{"name":"b","link_address":"","entry_address":"","failure_domain":"","state":"live"}]`, body)
	})
}

// Guards against bad changes that are taken, and an outage that ends by itself.
func TestBadChangesAndOutage(t *testing.T) {
	list := hosts.New(hosts.Options{})
	assert.True(t, fault.Is(list.Set(hosts.Host{State: "live"}), hosts.Invalid))
	for _, body := range []string{`{"state":"asleep"}`, `{"colour":"red"}`, `{`} {
		status, _ := send(list.Handler(), http.MethodPut, "/hosts/a", body)
		assert.Equal(t, http.StatusBadRequest, status, body)
	}
	status, _ := send(list.Handler(), http.MethodPut, "/faults/down", "true")
	assert.Equal(t, http.StatusNoContent, status)
	status, _ = send(list.Handler(), http.MethodGet, "/hosts", "")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	list.Down(false)
	status, body := send(list.Handler(), http.MethodGet, "/hosts", "")
	assert.Equal(t, http.StatusOK, status)
	assert.JSONEq(t, "[]", body)
}
