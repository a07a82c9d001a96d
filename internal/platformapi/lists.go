package platformapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// cachedList caches the latest version of one of the platform's lists. Every VM
// polls the lists, which rarely change. A list of 720 upstreams has some 200 KB, so
// transferring it at each poll would use many times a VM's share of the network.
// Therefore a poll sends the ETag of the cached version, and the platform answers
// 304 if the list has not changed. A platform without ETags always sends the full
// list.
type cachedList[T any] struct {
	latest atomic.Pointer[listVersion[T]]
}

// listVersion is one version of a list. It is immutable.
type listVersion[T any] struct {
	etag  string
	items []T
}

// fetch returns the current list. The caller must not modify it.
func (l *cachedList[T]) fetch(ctx context.Context, c *Client, path string) ([]T, error) {
	cached := l.latest.Load()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: path})
	}
	if cached != nil && cached.etag != "" {
		request.Header.Set("If-None-Match", cached.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && cached != nil {
		return cached.items, nil
	}
	fetched := &listVersion[T]{etag: response.Header.Get("ETag")}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &fetched.items) != nil {
		return nil, errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	l.latest.Store(fetched)
	return fetched.items, nil
}
