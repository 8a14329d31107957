package delivery

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// BenchmarkDelivery measures the CPU time of a delivery over loopback, including the share of the fake worker.
func BenchmarkDelivery(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go serveMinimal(listener)
	e := startEngine(b, testConfig())
	e.SetWorkers([]*rpc.Worker{{Id: "i-0", Service: testService, Address: listener.Addr().String()}})
	job := newJob()
	job.Body = make([]byte, 2000)
	slots := make(chan struct{}, 16)
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		slots <- struct{}{}
		e.Submit(job, allow, func(o Outcome) {
			if o.Kind != Succeeded {
				panic(o.Kind.String())
			}
			<-slots
		})
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func serveMinimal(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go respondMinimal(conn)
	}
}

// respondMinimal responds to each request that arrives in one read, at minimal cost.
func respondMinimal(conn net.Conn) {
	response := []byte("HTTP/1.1 200 OK\r\nX-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok")
	buffer := make([]byte, 64<<10)
	for {
		n, err := io.ReadAtLeast(conn, buffer, 1)
		if err != nil || !bytes.HasPrefix(buffer[:n], []byte("POST")) {
			_ = conn.Close()
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}
