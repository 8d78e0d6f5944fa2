// Package entry speaks to the operators' API of an entry.
//
// # Usage
//
//	c := entry.NewClient([]string{"http://127.0.1.1:8080"}, timeout)
//	v, err := c.View(ctx)
package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/dispatch"
	"github.com/pollenfront/pollenfront/operatorapi"
	"github.com/pollenfront/pollenfront/peer"
	"github.com/pollenfront/pollenfront/refusal"
	"github.com/pollenfront/pollenfront/view"
)

// A Client asks the first entry that answers.
type Client struct {
	bases  []string
	client *http.Client
}

// NewClient returns a Client of the entries with the given base URLs.
func NewClient(bases []string, timeout time.Duration) *Client {
	return &Client{bases: bases, client: &http.Client{Timeout: timeout}}
}

// Change asks for a change. If the entry is lost on the way, the same change,
// with the same ID, is asked of the next one.
func (c *Client) Change(ctx context.Context, request operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
	var result operatorapi.ChangeResult
	body, err := json.Marshal(request)
	if err != nil {
		return result, err
	}
	return result, c.first(ctx, http.MethodPost, operatorapi.PathChanges, body, &result)
}

// Force returns which processes hold which version.
func (c *Client) Force(ctx context.Context) (operatorapi.Force, error) {
	var force operatorapi.Force
	return force, c.first(ctx, http.MethodGet, operatorapi.PathForce, nil, &force)
}

// Job returns the state of a job at its owner.
func (c *Client) Job(ctx context.Context, id pollenfront.JobID) (peer.JobState, error) {
	var state peer.JobState
	return state, c.first(ctx, http.MethodGet, "/v1/jobs/"+string(id), nil, &state)
}

// View returns the view.
func (c *Client) View(ctx context.Context) (*view.View, error) {
	var v view.View
	return &v, c.first(ctx, http.MethodGet, operatorapi.PathView, nil, &v)
}

// States returns the state of the dispatcher of each entry in the view that
// answers, by the entry's name.
func (c *Client) States(ctx context.Context) (map[string]dispatch.Dump, error) {
	v, err := c.View(ctx)
	if err != nil {
		return nil, err
	}
	states := make(map[string]dispatch.Dump)
	for _, e := range v.Entries {
		var dump dispatch.Dump
		if err := c.ask(ctx, "http://"+e.API, http.MethodGet, operatorapi.PathState, nil, &dump); err == nil {
			states[e.Name] = dump
		}
	}
	return states, nil
}

// first asks the entries in turn until one answers.
func (c *Client) first(ctx context.Context, method, path string, body []byte, result any) error {
	err := errors.New("no entry is named; use --api")
	for _, base := range c.bases {
		err = c.ask(ctx, base, method, path, body, result)
		var refused *refusal.Error
		if err == nil || errors.As(err, &refused) {
			return err
		}
	}
	return err
}

// ask asks one entry. It returns a *refusal.Error if the entry refused.
func (c *Client) ask(ctx context.Context, base, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode == http.StatusOK {
		return decoder.Decode(result)
	}
	var refused struct {
		refusal.Error

		Message string       `json:"message"`
		Reason  refusal.Kind `json:"reason"`
	}
	if err := decoder.Decode(&refused); err != nil {
		return fmt.Errorf("%s%s: %s", base, path, response.Status)
	}
	if refused.Kind == "" {
		refused.Kind, refused.Detail = refused.Reason, refused.Message
	}
	return &refused.Error
}
