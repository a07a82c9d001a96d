package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"dogwoodpond/internal/platformapi"
)

// network relays all traffic between failure domains and to the platform, so that
// a test can interrupt it. Each domain has a gateway to the platform. The gateway
// replaces the addresses of other domains in the platform's lists by those of
// relays.
type network struct {
	t           testing.TB
	platformURL string

	mu sync.Mutex
	// gateways holds the URL of the gateway of each domain.
	gateways map[string]string
	// relays holds the address of each relay, by the dialing domain and the
	// address that the relay dials.
	relays map[string]string
	// down holds the links that are down.
	down map[link]bool
	// changed is closed and replaced at each change of down.
	changed chan struct{}
	// open holds the open connections of each link.
	open map[link]map[net.Conn]bool
}

// link is one direction between two ends: failure domains or platformEnd.
type link struct{ from, to string }

const platformEnd = "platform"

func newNetwork(t testing.TB, platformURL string) *network {
	return &network{
		t: t, platformURL: platformURL,
		gateways: make(map[string]string), relays: make(map[string]string),
		down: make(map[link]bool), changed: make(chan struct{}),
		open: make(map[link]map[net.Conn]bool),
	}
}

// gateway returns the URL at which a domain reaches the platform, and starts the
// gateway at the first call.
func (n *network) gateway(domain string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if url, ok := n.gateways[domain]; ok {
		return url
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.forward(domain, w, r)
	}))
	n.t.Cleanup(server.CloseClientConnections)
	n.gateways[domain] = server.URL
	return server.URL
}

// cutOff takes down the links between two ends. Calls to the platform get no answer
// until reconnect. Existing and new connections between domains are closed.
func (n *network) cutOff(a, b string) { n.setDown(a, b, true) }

// reconnect brings up the links between two ends.
func (n *network) reconnect(a, b string) { n.setDown(a, b, false) }

func (n *network) setDown(a, b string, isDown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []link{{a, b}, {b, a}} {
		n.down[l] = isDown
		for conn := range n.open[l] {
			_ = conn.Close()
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// isDown reports whether a link is down, and returns a channel that is closed at
// the next change.
func (n *network) isDown(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[l], n.changed
}

// forward forwards a call to the platform. While the link is down, the call waits.
func (n *network) forward(domain string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for {
		isDown, changed := n.isDown(link{domain, platformEnd})
		if !isDown {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, n.platformURL+r.URL.EscapedPath(), bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(n.rewrite(domain, r.URL.Path, answer))
}

// rewrite replaces the addresses of other domains in the platform's lists by those
// of relays.
func (n *network) rewrite(domain, path string, answer []byte) []byte {
	var changed any
	switch path {
	case platformapi.PathVMs:
		var vms []platformapi.VM
		if json.Unmarshal(answer, &vms) != nil {
			return answer
		}
		for i, v := range vms {
			vms[i].PeerAddress = n.relay(link{domain, v.FailureDomain}, v.PeerAddress)
		}
		changed = vms
	case platformapi.PathUpstreams:
		var upstreams []platformapi.Upstream
		if json.Unmarshal(answer, &upstreams) != nil {
			return answer
		}
		for i, u := range upstreams {
			upstreams[i].Address = n.relay(link{domain, u.FailureDomain}, u.Address)
		}
		changed = upstreams
	default:
		return answer
	}
	text, err := json.Marshal(changed)
	if err != nil {
		return answer
	}
	return text
}

// relay returns the address of a relay to target over a link, and starts the relay
// at the first call. Within a domain it returns target itself.
func (n *network) relay(l link, target string) string {
	if l.from == l.to || target == "" {
		return target
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	name := l.from + ">" + target
	if at, ok := n.relays[name]; ok {
		return at
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return target
	}
	n.t.Cleanup(func() { _ = listener.Close() })
	go n.accept(l, target, listener)
	n.relays[name] = listener.Addr().String()
	return n.relays[name]
}

func (n *network) accept(l link, target string, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if isDown, _ := n.isDown(l); isDown {
			_ = conn.Close()
			continue
		}
		go n.join(l, conn, target)
	}
}

// join copies data in both directions until one connection is closed.
func (n *network) join(l link, near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	n.track(l, near, true)
	defer n.track(l, near, false)
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(far, near)
	go pipe(near, far)
	<-done
}

func (n *network) track(l link, conn net.Conn, isOpen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !isOpen {
		delete(n.open[l], conn)
		return
	}
	if n.open[l] == nil {
		n.open[l] = make(map[net.Conn]bool)
	}
	n.open[l][conn] = true
}
