// Package demonstrator implements the demo: it runs every kind of work on a
// small cluster of real processes and checks each answer.
package demonstrator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/merger"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
)

// Settings describe a demo.
type Settings struct {
	// Binary is the path of the product, Standin that of the stand-ins.
	Binary, Standin string
	// Deployment is a directory with base.yaml, overlays and keys.txt.
	Deployment string
	Out        io.Writer
}

const (
	// demoTimeout bounds the whole demo.
	demoTimeout = 55 * time.Second
	// requestTimeout bounds one request; it is longer than the timeout of any
	// service of the examples.
	requestTimeout = 12 * time.Second
)

// demo is the state of one demo.
type demo struct {
	settings Settings
	cluster  *launcher.Cluster
	recorder *caller.Recorder
	plan     plan
	entries  []netip.AddrPort
	rows     []row
	// explainedJob is the id of the job whose records are printed.
	explainedJob string
}

// Run runs the demo. It returns an error unless every answer was correct and the
// ledgers show no violation.
func Run(ctx context.Context, settings Settings) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "greengagewall-demo-")
	if err != nil {
		return err
	}
	processes := launcher.New(dir)
	d := &demo{settings: settings}
	err = d.run(ctx, processes)
	processes.Close()
	if err != nil {
		return errors.Wrapf(err, "demo failed, output of the processes is in %s", dir)
	}

	return os.RemoveAll(dir)
}

func (d *demo) run(ctx context.Context, processes *launcher.Launcher) error {
	var err error
	if d.plan, err = readPlan(d.settings.Deployment); err != nil {
		return err
	}
	startedAt := time.Now()
	d.cluster, err = launcher.Start(ctx, processes, launcher.Settings{
		Binary: d.settings.Binary, Standin: d.settings.Standin, Regions: d.plan.regions,
		Entries: 2, Workers: 16, Executors: 8, Cores: 16, Memory: 64, ServiceTime: 5 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	for _, entry := range d.cluster.Entries {
		d.entries = append(d.entries, entry.Listen)
	}
	d.recorder = caller.NewRecorder(caller.NewPool(d.entries, requestTimeout), d.cluster.Settings.WorkerCapacity())
	if err := d.cluster.Await(ctx, "/healthz"); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	if err := d.cluster.Await(ctx, "/readyz"); err != nil {
		return err
	}
	if err := d.cluster.AwaitOwners(ctx); err != nil {
		return err
	}
	d.printf("%d processes ready after %s\n", 2+len(d.cluster.Hosts)+len(d.cluster.Entries),
		time.Since(startedAt).Round(time.Millisecond))
	if err := d.sendWork(ctx); err != nil {
		return err
	}

	return d.conclude(ctx)
}

// publish publishes the deployment's configuration with the publish command of
// the product.
func (d *demo) publish(ctx context.Context) error {
	output, err := d.runCommand(ctx, "publish", "--deployment", d.settings.Deployment,
		"--server", "http://"+d.entries[0].String(), "--wait", "15s", "--key", d.plan.operator)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	d.printf("$ greengagewall publish --deployment %s\n", d.settings.Deployment)
	for i, line := range lines {
		// The first publication lists every line of the configuration; only the
		// first three lines are shown.
		if err != nil || !strings.HasPrefix(line, "+ ") || i < 3 {
			d.printf("%s\n", line)
		}
	}

	return errors.Wrap(err, "publish")
}

// runCommand runs a command of the product and returns its combined output.
func (d *demo) runCommand(ctx context.Context, args ...string) (string, error) {
	output, err := exec.CommandContext(ctx, d.settings.Binary, args...).CombinedOutput() //nolint:gosec // the binary to demonstrate

	return string(output), err
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, format, args...)
}

// readPlan makes the plan from a deployment directory.
func readPlan(dir string) (plan, error) {
	secrets, err := readSecrets(filepath.Join(dir, "keys.txt"))
	if err != nil {
		return plan{}, err
	}
	result, err := merger.Load(dir)
	if err != nil {
		return plan{}, err
	}

	p, err := newPlan(result.Document, secrets)
	p.operator = operatorSecret(result.Document, secrets)

	return p, err
}

// operatorSecret returns the secret of the first usable operator key, or an
// empty string if there is none.
func operatorSecret(doc modeler.Document, secrets map[string]string) string {
	for _, operator := range doc.Operators {
		for _, key := range operator.Keys {
			if secret := secrets["operator:"+operator.Name+"/"+key.Name]; !key.Withdrawn && secret != "" {
				return secret
			}
		}
	}

	return ""
}

// readSecrets reads lines of team, key name and secret. The result is keyed by
// TEAM/KEY.
func readSecrets(path string) (map[string]string, error) {
	file, err := os.Open(path) //nolint:gosec // the deployment that was asked for
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	secrets := make(map[string]string)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); len(fields) == 3 && fields[0] != "#" {
			secrets[fields[0]+"/"+fields[1]] = fields[2]
		}
	}

	return secrets, scanner.Err()
}
