package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

type batch struct {
	ID, Host, Prefix, Key string
	Items                 []item
	Model                 string
	MinVersion            int64
	Step                  int
}

type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

func newBatch(id, host, prefix, key, model string, groups, size, bodyBytes, step int) *batch {
	b := &batch{ID: id, Host: host, Prefix: prefix, Key: key, Model: model, MinVersion: 1, Step: step}
	for g := range groups {
		for n := range size {
			b.Items = append(b.Items, item{
				ID: fmt.Sprintf("%s-g%d-%d", id, g, n), Path: fmt.Sprintf("%s%d/%d", prefix, g, n),
				Headers: map[string]string{"X-Dogwoodpond-Model": model, "X-Dogwoodpond-Token-Counts": "271,60",
					"X-Dogwoodpond-Prompt-Prefix": fmt.Sprintf("%x:255,%x:16", 4096+g, 65536+g*100+n)},
				Body: bytes.Repeat([]byte{byte(n)}, bodyBytes), Tokens: 331, Group: fmt.Sprintf("%s-g%d", id, g),
			})
		}
	}
	return b
}

func (b *batch) text() []byte {
	text, err := json.Marshal(map[string]any{"step": b.Step, "model": b.Model, "min_version": b.MinVersion, "desired": 1, "requests": b.Items})
	if err != nil {
		cannotRun("batch: %v", err)
	}
	return text
}

// call makes one call of a client over a new connection.
func call(address, method, host, path, key string, header map[string]string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

func (b *batch) submit(v *vm, limit time.Duration) (int, error) {
	return b.submitText(v, b.text(), limit)
}

func (b *batch) submitText(v *vm, text []byte, limit time.Duration) (int, error) {
	status, _, err := call(v.front, http.MethodPost, b.Host, b.Prefix+b.ID, b.Key,
		map[string]string{"X-Dogwoodpond-Attempt-Id": b.ID, "X-Dogwoodpond-Deadline-Ms": "12000", "Content-Type": "application/json"}, text, limit)
	record("batch %s of %d items to %s: %d %v", b.ID, len(b.Items), v.name, status, err)
	return status, err
}

// read returns the results from a position on.
func (b *batch) read(v *vm, after int) (status, total int, results []result) {
	status, text, err := call(v.front, http.MethodGet, b.Host, fmt.Sprintf("/lots/%s?after=%d", b.ID, after), b.Key,
		map[string]string{"X-Dogwoodpond-Wait-Ms": "1000"}, nil, 4*time.Second)
	if err != nil {
		return 0, 0, nil
	}
	var out struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	_ = json.Unmarshal(text, &out)
	return status, out.Total, out.Results
}

// readAll reads results until all items are listed or the limit has passed.
func (b *batch) readAll(v *vm, limit time.Duration) []result {
	var all []result
	for until := time.Now().Add(limit); time.Now().Before(until) && len(all) < len(b.Items); {
		status, _, results := b.read(v, len(all))
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
		for _, r := range results {
			record("batch %s position %d: %s %s, versions %v, %d bytes", b.ID, len(all), r.ID, r.State, r.Versions, len(r.Text))
			all = append(all, r)
		}
	}
	return all
}

func (b *batch) end(v *vm) int {
	status, _, err := call(v.front, http.MethodDelete, b.Host, "/lots/"+b.ID, b.Key, nil, nil, 4*time.Second)
	record("end of batch %s at %s: %d %v", b.ID, v.name, status, err)
	return status
}
