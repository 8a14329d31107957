package localrun

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/controlplane"
	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	orderBound = time.Second
	orderPause = 200 * time.Millisecond
)

// operator sends orders to the control processes and reads their status.
type operator struct {
	controls []*process
	client   *http.Client
	turn     int
}

func newOperator(controls []*process) *operator {
	return &operator{controls: controls, client: responsecheck.NewClient(orderBound)}
}

// replace sends a configuration to one process after the other until it is acknowledged.
func (o *operator) replace(ctx context.Context, config *catalog.Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return errors.Wrap(err, "encode the configuration: report this as a defect")
	}
	for {
		status, answer := o.post(ctx, "/api/config/replace", "0", body)
		switch {
		case status == http.StatusOK:
			return nil
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
			return errors.Errorf("the configuration is refused with %d: %s", status, answer)
		}
		select {
		case <-ctx.Done():
			return errors.New("the configuration was not acknowledged in time: see the logs of the control processes")
		case <-time.After(orderPause):
		}
	}
}

// post sends an order. The status is 0 where no answer came.
func (o *operator) post(ctx context.Context, path, ifVersion string, body []byte) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.next()+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("X-If-Version", ifVersion)
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

func (o *operator) next() string {
	o.turn++
	return o.controls[o.turn%len(o.controls)].settings.Listen.Control
}

// status returns what the leader knows, or nil where no process says that it leads.
func (o *operator) status(ctx context.Context) *controlplane.Status {
	for range o.controls {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.next()+"/internal/status", nil)
		if err != nil {
			return nil
		}
		if known := o.ask(request); known != nil && known.Leader {
			return known
		}
	}
	return nil
}

func (o *operator) ask(request *http.Request) *controlplane.Status {
	response, err := o.client.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	known := &controlplane.Status{}
	if responsecheck.DecodeJSON(response.Body, known) != nil {
		return nil
	}
	return known
}
