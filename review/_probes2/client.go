package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// resend is the time after which a client sends a job again, resend-ms of the bounds.
const resend = 1300 * time.Millisecond

// A jobSpec is a best-effort job of one step.
type jobSpec struct {
	count  int
	cpu    int
	id     string
	waits  time.Duration // waits is how long the client waits for a response.
	workMS int
}

// body returns the body of the job's POST.
func (j *jobSpec) body() []byte {
	body, _ := json.Marshal(map[string]any{
		"best-effort": true, "spec": fmt.Sprintf(`{"cpu":%d,"work-ms":%d}`, j.cpu, j.workMS),
		"steps": []map[string]any{{"count": j.count, "cpu": j.cpu, "estimate-ms": j.workMS, "mem-mb": 64}},
	})
	return body
}

// post sends a job once, on a channel of its own. It returns the status, or 0 without a response.
func (f *fleet) post(entry int, j *jobSpec) (int, string) {
	ctx, cancel := context.WithTimeout(f.ctx, j.waits)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address(1, entry, callersPort)+prefix+j.id, bytes.NewReader(j.body()))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(j.waits.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.rec.addf("client: sends job %s to front-%d", j.id, entry)
	resp, err := client.Do(req)
	if err != nil {
		f.rec.addf("client: no response for job %s from front-%d: %v", j.id, entry, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.rec.addf("client: broken response for job %s from front-%d: %v", j.id, entry, err)
		return 0, ""
	}
	f.rec.addf("client: front-%d answers job %s: %d %s", entry, j.id, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// sendsAgain reports whether a client sends a job again after a status.
func sendsAgain(status int) bool {
	return status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// submit sends a job to the entries in turn, beginning with the given one: again resend after no
// response, a broken channel, 502 or 504, as clients do. It returns the last status.
func (f *fleet) submit(entry int, j *jobSpec, tries int) (status int, body string) {
	for try := range tries {
		if try > 0 {
			time.Sleep(resend)
		}
		if status, body = f.post((entry+try)%len(f.entries), j); !sendsAgain(status) {
			return status, body
		}
	}
	return status, body
}
