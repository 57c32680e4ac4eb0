// Package demonstrator shows every kind of work on a small cluster of real
// processes and checks each answer.
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
	// Binary is the product, Standin this program.
	Binary, Standin string
	// Deployment is a directory with base.yaml, overlays and keys.txt.
	Deployment string
	Out        io.Writer
}

const (
	// timeout bounds the whole demo.
	timeout = 55 * time.Second
	// requestTimeout bounds one request; it is longer than the timeout of any
	// service of the examples.
	requestTimeout = 12 * time.Second
)

// demo is a running demo.
type demo struct {
	settings Settings
	cluster  *launcher.Cluster
	recorder *caller.Recorder
	plan     plan
	entries  []netip.AddrPort
	rows     []row
	// explained is the job whose records are printed.
	explained string
}

// Run runs the demo. It fails unless every answer was right.
func Run(ctx context.Context, settings Settings) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	begun := time.Now()
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
		time.Since(begun).Round(time.Millisecond))
	if err := d.perform(ctx); err != nil {
		return err
	}

	return d.conclude(ctx)
}

// publish publishes the example configuration with the product's command.
func (d *demo) publish(ctx context.Context) error {
	output, err := d.product(ctx, "publish", "--deployment", d.settings.Deployment,
		"--server", "http://"+d.entries[0].String(), "--wait", "15s", "--key", d.plan.operator)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	d.printf("$ greengagewall publish --deployment %s\n", d.settings.Deployment)
	for i, line := range lines {
		// A first publication lists every line of the configuration.
		if err != nil || !strings.HasPrefix(line, "+ ") || i < 3 {
			d.printf("%s\n", line)
		}
	}

	return errors.Wrap(err, "publish")
}

// product runs a command of the product.
func (d *demo) product(ctx context.Context, args ...string) (string, error) {
	output, err := exec.CommandContext(ctx, d.settings.Binary, args...).CombinedOutput() //nolint:gosec // the binary to demonstrate

	return string(output), err
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, format, args...)
}

// readPlan reads a deployment directory.
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

// operatorSecret returns the secret of a usable operator key; empty if there is
// none.
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

// readSecrets reads lines of team, key and secret.
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
