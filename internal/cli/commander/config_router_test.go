package commander

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/authenticator"
	"gitlab.com/greengagewall/greengagewall/internal/entry/router"
	"gitlab.com/greengagewall/greengagewall/internal/platform/connector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/logger"
)

// alone is the membership of the only entry instance.
type alone struct{}

func (alone) Peers() []modeler.Peer         { return nil }
func (alone) Endpoints() []modeler.Instance { return nil }

// freshness is that of the only entry instance.
type freshness struct{ *follower.Follower }

func (freshness) HasMajority(time.Time) bool { return false }

// demoKey returns the secret of the operator of the example.
func demoKey(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/humo-andino/keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "operator:cartographer demo ")
	secret, _, ok := strings.Cut(rest, "\n")
	if !ok {
		t.Fatal("the example has no key of an operator")
	}

	return secret
}

// TestAgainstRouter guards against commands that do not fit the HTTP API of an
// entry instance, whose body is decoded strictly.
func TestAgainstRouter(t *testing.T) {
	platform := httptest.NewServer(logger.NewServer(logger.New(time.Hour, 1000)))
	t.Cleanup(platform.Close)
	config := follower.New(
		follower.WithLog(connector.NewLog(netip.MustParseAddrPort(strings.TrimPrefix(platform.URL, "http://")))),
		follower.WithPoll(10*time.Millisecond, 10*time.Millisecond),
	)
	ctx, cancel := context.WithCancel(context.Background())
	go config.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-config.Done()
	})
	s := newSession(t)
	key := demoKey(t)
	s.server.Config.Handler = router.New(
		router.WithSelf(modeler.Instance{ID: "entry-1"}), router.WithPublisher(config),
		router.WithConfiguration(config), router.WithMembership(alone{}),
		router.WithAuthenticator(authenticator.New(config, freshness{config})),
	)
	s.wants(codeNegative, "diff "+humo)
	s.wants(codeOK, "publish "+humo+" --wait 1s")
	for _, line := range []string{"diff " + humo, "publish " + humo, "key withdraw health lima"} {
		if out := s.wants(codeRefused, line); !strings.Contains(out, "bad-key (not run)") {
			t.Errorf("%s without a key: %s", line, out)
		}
	}
	t.Setenv("GREENGAGEWALL_KEY", key)
	if out := s.wants(codeUsage, "key withdraw cartographer demo --holder operator"); !strings.Contains(out, "no operator has a usable key") {
		t.Errorf("last key withdrawn: %s", out)
	}
	s.wants(codeOK, "diff "+humo)
	s.wants(codeOK, "key grant health piura --digest "+strings.Repeat("ab", 32))
	s.wants(codeOK, "key withdraw health lima")
	if out := s.wants(codeRefused, "publish "+humo); !strings.Contains(out, "teams/health/keys/lima") {
		t.Errorf("withdrawn key not named: %s", out)
	}
	s.wants(codeConflict, "publish "+humo+" --reinstate --parent 0")
	s.wants(codeOK, "publish "+humo+" --reinstate")
	if out := s.wants(codeOK, "offsets"); !strings.Contains(out, "offset 3 is in force everywhere") {
		t.Error(out)
	}
	platform.Close()
	if out := s.wants(codeRefused, "publish "+humo); !strings.Contains(out, "log-down (not run)") {
		t.Error(out)
	}
}
