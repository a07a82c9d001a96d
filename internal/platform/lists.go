package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// cachedList is the latest answer of one of the platform's lists. The lists are
// polled by every VM and seldom change; at 720 upstreams one is some 200 KB, so
// that fetching it anew each time would use many times a VM's share of the
// network. A poll names the version that the VM has, and the platform answers
// 304 when it still holds. A platform that knows no ETag sends the whole list.
type cachedList[T any] struct {
	latest atomic.Pointer[listVersion[T]]
}

// listVersion is immutable.
type listVersion[T any] struct {
	etag  string
	items []T
}

// fetch returns the list; the result must not be changed.
func (l *cachedList[T]) fetch(ctx context.Context, c *Client, path string) ([]T, error) {
	have := l.latest.Load()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.WithStack(&fault.Internal{Where: path})
	}
	if have != nil && have.etag != "" {
		request.Header.Set("If-None-Match", have.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && have != nil {
		return have.items, nil
	}
	next := &listVersion[T]{etag: response.Header.Get("ETag")}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &next.items) != nil {
		return nil, errors.WithStack(&fault.StoreUnavailable{Operation: path})
	}
	l.latest.Store(next)
	return next.items, nil
}
