package forwarder

import (
	"context"
	"net"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// BenchmarkRelay measures a submission that one instance forwards to the owner
// over a loopback connection, one at a time and 64 at a time.
func BenchmarkRelay(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(newFakeOwner(func(_ context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
		return modeler.SubmitReply{Job: msg.Job.ID}, nil
	}), nil)
	go func() { _ = server.Run(listener) }()
	pool := NewPool()
	b.Cleanup(func() {
		pool.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Stop(ctx)
		<-server.Done()
	})
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	commands, ok := New(WithPool(pool), WithDirectory(fakeDirectory(address))).CommandsOf("owner")
	if !ok {
		b.Fatal("no commands for the owner")
	}
	msg := modeler.SubmitMsg{Partition: "costa-1", Job: modeler.Job{ID: "j1", Team: "andina", Queue: "plume", Tasks: 10}}
	b.Run("serial", func(b *testing.B) {
		for b.Loop() {
			if _, err := commands.Submit(context.Background(), msg); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := commands.Submit(context.Background(), msg); err != nil {
					b.Error(err)

					return
				}
			}
		})
	})
}
