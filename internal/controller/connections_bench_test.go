package controller

import (
	"log/slog"
	"net"
	"runtime"
	"runtime/metrics"
	"strconv"
	"syscall"
	"testing"
	"time"

	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// memoryClasses returns the runtime's memory classes in bytes, and the number of goroutines, by
// short names.
func memoryClasses() map[string]uint64 {
	names := map[string]string{
		"heap-live": "/memory/classes/heap/objects:bytes", "heap-unused": "/memory/classes/heap/unused:bytes",
		"heap-free": "/memory/classes/heap/free:bytes", "stacks": "/memory/classes/heap/stacks:bytes",
		"runtime": "/memory/classes/metadata/other:bytes", "spans": "/memory/classes/metadata/mspan/inuse:bytes",
		"os-stacks": "/memory/classes/os-stacks:bytes", "other": "/memory/classes/other:bytes",
		"total": "/memory/classes/total:bytes", "released": "/memory/classes/heap/released:bytes",
		"goroutines": "/sched/goroutines:goroutines",
	}
	out := map[string]uint64{}
	for short, name := range names {
		s := []metrics.Sample{{Name: name}}
		metrics.Read(s)
		out[short] = s[0].Value.Uint64()
	}
	return out
}

// BenchmarkConnections measures the memory, in bytes, and the goroutines that the server needs for
// a connection that has sent one request. The clients are plain sockets, which the Go runtime does
// not account for.
func BenchmarkConnections(b *testing.B) {
	const conns = 1000
	c, _, workers := fleetController(b, conns, 0)
	exchangeHeartbeats(b, c, workers)
	port := freePort(b)
	srv := transport.New(transport.Config{
		Handler: c.handle, Log: slog.New(slog.DiscardHandler), Rejections: rejectlog.New(slog.New(slog.DiscardHandler)),
		MaxConnections: 2 * conns, KeepAliveLimit: 2 * conns, MaxBuffered: 1 << 20,
	})
	go srv.Run("127.0.0.1:" + strconv.Itoa(port))
	addr := &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}
	request := httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil)
	answer := make([]byte, 4096)
	connect := func() int {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
		if err != nil {
			b.Fatal(err)
		}
		for err = syscall.ECONNREFUSED; err == syscall.ECONNREFUSED; time.Sleep(time.Millisecond) {
			err = syscall.Connect(fd, addr) // the server may not be up yet
		}
		if err != nil {
			b.Fatal(err)
		}
		if _, err := syscall.Write(fd, request); err != nil {
			b.Fatal(err)
		}
		if n, err := syscall.Read(fd, answer); err != nil || n == 0 {
			b.Fatalf("no answer: %v", err)
		}
		return fd
	}
	syscall.Close(connect()) // allocates what the server keeps after its first connection
	for b.Loop() {
		before, classes := liveHeap(), memoryClasses()
		fds := make([]int, conns)
		for i := range fds {
			fds[i] = connect()
		}
		after := memoryClasses()
		b.ReportMetric(float64(liveHeap()-before)/conns, "heap-B/conn")
		b.ReportMetric(float64(after["stacks"])-float64(classes["stacks"]), "stacks-B")
		b.ReportMetric(float64(after["goroutines"])-float64(classes["goroutines"]), "goroutines")
		for _, fd := range fds {
			syscall.Close(fd)
		}
	}
	runtime.KeepAlive(c)
}

// freePort returns a TCP port that was free just now.
func freePort(b *testing.B) int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}
