package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
)

// Kind is the sort of an admin error.
type Kind string

// The kinds of admin errors.
const (
	// Unreachable: the host did not answer as a whole; a change may have been made.
	Unreachable Kind = "unreachable"
	// Refused: the host refused the call; Client returns the host's Problem.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Error implements error, so that a refusal keeps what the host said.
func (problem *Problem) Error() string {
	text := strings.Join(nonEmpty(problem.Kind, problem.Field, problem.Message), ": ")
	if problem.Winner != nil {
		text += "; the other change: " + DescribeChange(*problem.Winner)
	}
	return text
}

// DescribeChange says who changed what, when and why.
func DescribeChange(change heads.Change) string {
	what := strings.Join(nonEmpty(string(change.Action), change.Lot, change.Digest), " ")
	text := what + " by " + change.Operator + " at " + change.At.UTC().Format(time.RFC3339)
	if change.Reason != "" {
		text += " (" + change.Reason + ")"
	}
	return text
}

func nonEmpty(parts ...string) []string {
	var kept []string
	for _, part := range parts {
		if part != "" {
			kept = append(kept, part)
		}
	}
	return kept
}

// Client calls the operators' interface of one host.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client for a host's operators' address with an
// operator's key.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: http.DefaultClient}
}

// Trust makes the client trust the hosts whose certificates one of the given
// authorities signed, in PEM form, in place of the system's authorities. It
// reports false if there is none.
func (client *Client) Trust(authorities []byte) bool {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return false
	}
	client.http = &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
	}}
	return true
}

// Status reads the state of the environment.
func (client *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, client.call(ctx, client.sling().Get("/admin/status"), &status)
}

// Confirmed asks which live hosts have a generation in force.
func (client *Client) Confirmed(ctx context.Context, generation uint64) (Confirmed, error) {
	var confirmed Confirmed
	path := "/admin/confirmed?generation=" + strconv.FormatUint(generation, 10)
	if err := client.call(ctx, client.sling().Get(path), &confirmed); err != nil {
		return Confirmed{}, err
	}
	if confirmed.Generation != generation {
		return Confirmed{}, fault.Field("admin.confirmed", Unreachable, "generation", "the answer is about another generation")
	}
	return confirmed, nil
}

// Trial proves a document.
func (client *Client) Trial(ctx context.Context, document []byte, reason string) (Changed, error) {
	var changed Changed
	request := client.sling().Post("/admin/trial?reason="+url.QueryEscape(reason)).
		Body(bytes.NewReader(document)).Set("Content-Type", "application/json")
	return changed, client.call(ctx, request, &changed)
}

// Promote puts a proved document in force.
func (client *Client) Promote(ctx context.Context, digest, reason string) (Changed, error) {
	var changed Changed
	request := client.sling().Post("/admin/promote").BodyJSON(Order{Digest: digest, Reason: reason})
	return changed, client.call(ctx, request, &changed)
}

// Recall takes a lot out of force.
func (client *Client) Recall(ctx context.Context, lot, reason string) (Changed, error) {
	var changed Changed
	request := client.sling().Post("/admin/recall").BodyJSON(Order{Lot: lot, Reason: reason})
	return changed, client.call(ctx, request, &changed)
}

func (client *Client) sling() *sling.Sling {
	return sling.New().Base(client.base).Set("Authorization", "Bearer "+client.key)
}

// call sends a request. A refusal is returned as a *Problem.
func (client *Client) call(ctx context.Context, prepared *sling.Sling, answer any) error {
	const op = "admin.call"
	request, err := prepared.Request()
	if err != nil {
		return fault.Wrap(op, Refused, err)
	}
	response, err := client.http.Do(request.WithContext(ctx))
	if err != nil {
		return fault.Wrap(op, Unreachable, err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		problem := &Problem{}
		if err := decoder.Decode(problem); err != nil || problem.Kind == "" {
			kind := Refused
			if response.StatusCode >= http.StatusInternalServerError {
				kind = Unreachable
			}
			return fault.New(op, kind, "status "+response.Status+" without a reason")
		}
		return problem
	}
	if err := decoder.Decode(answer); err != nil {
		return fault.Wrap(op, Unreachable, err)
	}
	return nil
}
