package delivery

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// If a worker accepts only about as many connections as there are stores, each store may hold one connection per worker. A job must
// then reach a worker whose connection is free, rather than be refused because some of the workers are busy.
func TestJobReachesFreeWorkerAmongBusyOnes(t *testing.T) {
	const (
		nearWorkers = 4
		farWorkers  = 4
		workers     = nearWorkers + farWorkers
	)
	release := make(chan struct{})
	arrived := make(chan struct{}, workers)
	var fakeWorkers []*fakeWorker
	for range workers {
		fakeWorkers = append(fakeWorkers, startFakeWorker(t, func(c net.Conn, r *http.Request) {
			arrived <- struct{}{}
			<-release
			succeed(c, r)
		}))
	}
	config := testConfig()
	config.Routes[0].TimeoutMs = float64(testTimeout.Milliseconds())
	config.Services[0].MaxConns = 24
	e := New(Options{Zone: "a"})
	t.Cleanup(e.Close)
	e.SetDispatchers(15)
	e.SetCatalog(config.Version, config)
	list := workerList(fakeWorkers...)
	for _, far := range list[nearWorkers:] {
		far.Zone = "b"
	}
	e.SetWorkers(list)

	var outcomes []<-chan Outcome
	for number := range workers {
		outcomes = append(outcomes, submit(e, newJob()))
		select {
		case <-arrived:
		case o := <-outcomes[number]:
			close(release)
			must.Unreachable(t, must.Sprintf("job %d ended as %s while %d workers were free", number, o.Kind, workers-number))
		}
	}
	close(release)
	for _, o := range outcomes {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
}
