package choice_test

import (
	"fmt"

	"foldlb.example/foldlb/choice"
)

// printer is a host that only prints what the dispatcher decides.
type printer struct{}

func (printer) Assign(request, worker string, _ float64) { fmt.Println("send", request, "to", worker) }
func (printer) Refuse(request string, _ float64)         { fmt.Println("refuse", request) }
func (printer) Fail(request string)                      { fmt.Println("fail", request) }
func (printer) Cancel(string, int)                       {}
func (printer) Timer(float64, uint64)                    {}
func (printer) Probe(string)                             {}
func (printer) CloseIdle(string)                         {}
func (printer) SendToPeer(int, []byte)                   {}
func (printer) Subscribe(bool)                           {}
func (printer) ListAll()                                 {}
func (printer) Log(string)                               {}

func Example() {
	d, err := choice.New(0, choice.Settings{
		Dispatchers: 1, MaxAttempts: 3, FreeSlots: -1, FreeMem: -1, ErrorsPerS: -1, ServiceMillis: -1,
		Classes: []choice.Class{{Name: "plan", Effect: choice.AtMostOnce, Aim: 1, Deadline: 5, Worth: 1}},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	d.List(0, choice.ListAll, []choice.Worker{{ID: "10.0.0.1:80"}})
	d.Request(0.1, choice.Request{ID: "job-1", Deadline: 5.1, Tenant: -1, Slots: 1})
	d.Outcome(0.4, choice.Outcome{Request: "job-1", Worker: "10.0.0.1:80", Code: choice.Errored, Latency: 0.3})
	// Output:
	// send job-1 to 10.0.0.1:80
	// fail job-1
}
