package connector

import "time"

// Defaults of a client.
const (
	defaultRequestTimeout = 10 * time.Second
	// defaultSilenceTimeout is specified in section 2.9 of the design page.
	defaultSilenceTimeout = 2 * time.Second
	defaultDialTimeout    = time.Second
	defaultMaxConns       = 32
	// idleTimeout is shorter than the idle timeout of common HTTP servers, so that
	// a request is rarely sent on a connection that the server is closing.
	idleTimeout = 30 * time.Second
	// maxResponseBytes bounds the memory used for one response.
	maxResponseBytes = 64 << 20
)

type settings struct {
	requestTimeout time.Duration
	silenceTimeout time.Duration
	dialTimeout    time.Duration
	maxConns       int
}

// Option configures a client.
type Option func(*settings)

// WithTimeout sets the timeout of requests whose context has no deadline; the
// default is 10 s.
func WithTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.requestTimeout = timeout }
}

// WithSilenceTimeout sets how long a connection with a request in progress may
// receive nothing before it is closed; the default is 2 s.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.silenceTimeout = timeout }
}

// WithDialTimeout sets the timeout for opening a connection; the default is 1 s.
func WithDialTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.dialTimeout = timeout }
}

// WithMaxConns limits the open connections per host; the default is 32.
func WithMaxConns(limit int) Option {
	return func(s *settings) { s.maxConns = limit }
}

func newSettings(opts []Option) settings {
	s := settings{
		requestTimeout: defaultRequestTimeout, silenceTimeout: defaultSilenceTimeout, dialTimeout: defaultDialTimeout, maxConns: defaultMaxConns,
	}
	for _, opt := range opts {
		opt(&s)
	}

	return s
}
