package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// executorSlots is the number of slots of an executor, the default of the
// stand-in.
const executorSlots = 8

// controlTimeout bounds a control request.
const controlTimeout = 10 * time.Second

// Get decodes the answer to a GET request.
func Get(ctx context.Context, address netip.AddrPort, path string, out any) error {
	return send(ctx, http.MethodGet, address, path, "", nil, out)
}

// GetAs is Get with the key of an operator; an empty key sends none.
func GetAs(ctx context.Context, key string, address netip.AddrPort, path string, out any) error {
	return send(ctx, http.MethodGet, address, path, key, nil, out)
}

// Post sends a JSON request; in and out may be nil.
func Post(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	return send(ctx, http.MethodPost, address, path, "", in, out)
}

// PutAs sends a JSON request with the key of an operator; an empty key sends
// none.
func PutAs(ctx context.Context, key string, address netip.AddrPort, path string, in, out any) error {
	return send(ctx, http.MethodPut, address, path, key, in, out)
}

func send(ctx context.Context, method string, address netip.AddrPort, path, key string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, &body)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}

	return json.Unmarshal(data, out)
}

// Ledgers returns the events of all endpoints.
func (c *Cluster) Ledgers(ctx context.Context) ([]worker.Event, error) {
	var all []worker.Event
	for _, host := range c.Hosts {
		var events []worker.Event
		if err := Get(ctx, host.Control, "/control/ledger", &events); err != nil {
			return nil, err
		}
		all = append(all, events...)
	}

	return all, nil
}

// Await waits until every entry instance answers a GET request for path with
// success. It returns an error if a process ends or ctx is done.
func (c *Cluster) Await(ctx context.Context, path string) error {
	for _, entry := range c.Entries {
		for {
			err := Get(ctx, entry.Listen, path, nil)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return errors.Wrap(err, entry.Name)
			}
			if !entry.Process().Alive() {
				return errors.Errorf("%s has ended", entry.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}

	return nil
}

// InstanceID returns the id of the current process of an entry instance.
func (c *Cluster) InstanceID(ctx context.Context, entry *Entry) (modeler.InstanceID, error) {
	var state stateReply
	err := Get(ctx, entry.Listen, "/v1/state", &state)

	return state.Instance.ID, err
}

// stateReply is the part of the reply to GET /v1/state with the owners and their
// loads.
type stateReply struct {
	Instance  modeler.Instance    `json:"instance"`
	Ownership []modeler.Ownership `json:"ownership"`
	Loads     []modeler.Load      `json:"loads"`
}

// AwaitOwners waits until the partitions that are ready cover the capacity of
// all endpoints.
func (c *Cluster) AwaitOwners(ctx context.Context) error {
	var total modeler.Resources
	for _, host := range c.Hosts {
		capacity := modeler.Resources{Slots: executorSlots}
		if host.Kind == modeler.KindWorker {
			capacity = c.Settings.WorkerCapacity()
		}
		total = total.Add(capacity.Scale(int64(len(host.Endpoints))))
	}
	for ctx.Err() == nil {
		var ready modeler.Resources
		for _, entry := range c.Entries {
			var state stateReply
			if Get(ctx, entry.Listen, "/v1/state", &state) != nil {
				continue
			}
			for _, load := range state.Loads {
				if load.Ready {
					ready = ready.Add(load.Capacity)
				}
			}
		}
		if total.Fits(ready) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return errors.Wrap(ctx.Err(), "owners of all endpoints")
}

// Owners returns the owner of each partition by the highest term in the answers
// of the entry instances. A partition whose owner does not answer is omitted.
func (c *Cluster) Owners(ctx context.Context) map[modeler.PartitionID]*Entry {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	ids := make(map[modeler.InstanceID]*Entry)
	var ownership []modeler.Ownership
	for _, entry := range c.Entries {
		attemptCtx, stop := context.WithTimeout(ctx, 300*time.Millisecond)
		var state stateReply
		err := Get(attemptCtx, entry.Listen, "/v1/state", &state)
		stop()
		if err != nil {
			continue
		}
		ids[state.Instance.ID] = entry
		ownership = append(ownership, state.Ownership...)
	}
	terms := make(map[modeler.PartitionID]modeler.Term)
	owners := make(map[modeler.PartitionID]*Entry)
	for _, o := range ownership {
		if entry := ids[o.Owner]; entry != nil && o.Term >= terms[o.Partition] {
			terms[o.Partition], owners[o.Partition] = o.Term, entry
		}
	}

	return owners
}

// Config is the reply to GET /v1/config.
type Config struct {
	Offset   modeler.Offset   `json:"offset"`
	Document modeler.Document `json:"document"`
}

// Config returns the configuration in force at the first instance that answers.
// key is the key of an operator.
func (c *Cluster) Config(ctx context.Context, key string) (Config, error) {
	err := errors.New("no entry instance")
	for _, entry := range c.Entries {
		attemptCtx, stop := context.WithTimeout(ctx, time.Second)
		var config Config
		err = GetAs(attemptCtx, key, entry.Listen, "/v1/config", &config)
		stop()
		if err == nil {
			return config, nil
		}
	}

	return Config{}, err
}
