package lister

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// ViewRequest is the body of POST /control/views.
type ViewRequest struct {
	// Rewrite maps addresses to their replacements, so that one reader of the list
	// reaches instances through a relay.
	Rewrite map[netip.AddrPort]netip.AddrPort `json:"rewrite"`
}

// ViewReply answers a ViewRequest.
type ViewReply struct {
	// Address is the address that serves the rewritten list.
	Address netip.AddrPort `json:"address"`
}

// view is an HTTP handler that serves the list with some addresses replaced.
type view struct {
	server  *Server
	rewrite map[netip.AddrPort]netip.AddrPort
}

// ServeHTTP implements http.Handler.
func (v *view) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	instances := v.server.list.Instances(time.Now())
	for i := range instances {
		for _, address := range []*netip.AddrPort{&instances[i].Address, &instances[i].Peer} {
			if other, ok := v.rewrite[*address]; ok {
				*address = other
			}
		}
	}
	injector.Encode(w, instances)
}

// serveView serves a view on a free port of the loopback interface until the
// process ends.
func (s *Server) serveView(w http.ResponseWriter, r *http.Request) {
	var msg ViewRequest
	if err := injector.Decode(w, r, &msg); err != nil {
		return
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.WithoutCancel(r.Context()), "tcp", "127.0.0.1:0")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)

		return
	}
	server := &http.Server{
		Handler: s.faults.Wrap(&view{server: s, rewrite: msg.Rewrite}), ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	address, _ := netip.ParseAddrPort(listener.Addr().String())
	injector.Encode(w, ViewReply{Address: address})
}
