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

// noPeers is the membership of a cell with one entry instance.
type noPeers struct{}

func (noPeers) Peers() []modeler.Peer         { return nil }
func (noPeers) Endpoints() []modeler.Instance { return nil }

// singleInstance is the configuration freshness of a cell with one entry
// instance.
type singleInstance struct{ *follower.Follower }

func (singleInstance) HasMajority(time.Time) bool { return false }

// demoKey returns the operator's secret of the example deployment.
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

// TestAgainstRouter guards against requests that the HTTP API of an entry
// instance rejects; it decodes bodies strictly.
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
		router.WithConfiguration(config), router.WithMembership(noPeers{}),
		router.WithAuthenticator(authenticator.New(config, singleInstance{config})),
	)
	s.mustExit(codeNegative, "diff "+exampleDeployment)
	s.mustExit(codeOK, "publish "+exampleDeployment+" --wait 1s")
	for _, line := range []string{"diff " + exampleDeployment, "publish " + exampleDeployment, "key withdraw health lima"} {
		if out := s.mustExit(codeRefused, line); !strings.Contains(out, "bad-key (not run)") {
			t.Errorf("%s without a key: %s", line, out)
		}
	}
	t.Setenv("GREENGAGEWALL_KEY", key)
	if out := s.mustExit(codeUsage, "key withdraw cartographer demo --holder operator"); !strings.Contains(out, "no operator has a usable key") {
		t.Errorf("last key withdrawn: %s", out)
	}
	s.mustExit(codeOK, "diff "+exampleDeployment)
	s.mustExit(codeOK, "key grant health piura --digest "+strings.Repeat("ab", 32))
	s.mustExit(codeOK, "key withdraw health lima")
	if out := s.mustExit(codeRefused, "publish "+exampleDeployment); !strings.Contains(out, "teams/health/keys/lima") {
		t.Errorf("withdrawn key not named: %s", out)
	}
	s.mustExit(codeConflict, "publish "+exampleDeployment+" --reinstate --parent 0")
	s.mustExit(codeOK, "publish "+exampleDeployment+" --reinstate")
	if out := s.mustExit(codeOK, "offsets"); !strings.Contains(out, "offset 3 is in force everywhere") {
		t.Error(out)
	}
	platform.Close()
	if out := s.mustExit(codeRefused, "publish "+exampleDeployment); !strings.Contains(out, "log-down (not run)") {
		t.Error(out)
	}
}
