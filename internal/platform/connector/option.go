package connector

import "time"

// Defaults of a client.
const (
	defaultTimeout = 10 * time.Second
	// defaultSilence is the limit of section 2.9 of the design page.
	defaultSilence     = 2 * time.Second
	defaultDial        = time.Second
	defaultConnections = 32
	// idleTimeout is shorter than the idle timeout of usual HTTP servers, so
	// that a request is rarely sent on a connection that the server is closing.
	idleTimeout = 30 * time.Second
	// maxAnswer bounds the memory that one answer may take.
	maxAnswer = 64 << 20
)

type settings struct {
	timeout     time.Duration
	silence     time.Duration
	dial        time.Duration
	connections int
}

// Option changes a setting of a client.
type Option func(*settings)

// WithTimeout bounds requests whose context has no deadline; the default is
// 10 s.
func WithTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.timeout = timeout }
}

// WithSilence sets how long a connection with an open request may go without
// receiving a byte before it is closed; the default is 2 s.
func WithSilence(silence time.Duration) Option {
	return func(s *settings) { s.silence = silence }
}

// WithDialTimeout bounds the opening of a connection; the default is 1 s.
func WithDialTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.dial = timeout }
}

// WithConnections bounds the open connections per host; the default is 32.
func WithConnections(connections int) Option {
	return func(s *settings) { s.connections = connections }
}

func newSettings(opts []Option) settings {
	s := settings{
		timeout: defaultTimeout, silence: defaultSilence, dial: defaultDial, connections: defaultConnections,
	}
	for _, opt := range opts {
		opt(&s)
	}

	return s
}
