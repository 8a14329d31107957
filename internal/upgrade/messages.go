package upgrade

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/snapshot"
)

// Protocol is the version of the messages between the two processes. Both must use the same.
const Protocol = 2

const ownSchema = snapshot.Schema

// Messages of the new process.
type (
	// Hello is its first message.
	Hello struct {
		Protocol int    // must equal Protocol of the old process
		Schema   uint16 // of snapshots; must equal the old process's
		Version  string // of the build
		PID      int
	}
	// TrialTaken reports that it has imported the first snapshot, of so many bytes.
	TrialTaken struct{ Bytes int }
	// Differs reports that its decisions while following were not the old process's.
	Differs struct {
		Steps int    // steps followed, the first that differs included
		First string // description of that step
	}
	// AheadTaken reports that it has received all descriptors that were sent ahead.
	AheadTaken struct{}
	// NeedState reports that it could not follow to the last step, and requests the reducer's state.
	NeedState struct{}
	// Ready reports that it has imported everything and waits for Go.
	Ready struct{ Followed, Differed int } // numbers of steps
	// Acting is its last message: from here on it owns everything.
	Acting struct{}
	// Refused reports that it can't take over, and why.
	Refused struct{ Reason string }
)

// Messages of the old process.
type (
	// Trial is the first snapshot, which the new process imports while the old one serves.
	Trial struct{ Reducer []byte }
	// Followed is one step of the old process's reducer.
	Followed struct {
		Now    float64 // of the old process's clock, in seconds
		Event  snapshot.Event
		Digest uint64 // of its effects, as Digest returns it
	}
	// Parcel is the complete state, without the reducer's. Its descriptors are sent beside it.
	Parcel struct {
		Generation int                        // of the new process
		Started    int64                      // Unix nanoseconds of the first generation's start
		Clock      float64                    // the dispatcher's clock at its start, in seconds of Unix time
		Monotonic  int64                      // CLOCK_MONOTONIC at the clock's start, in nanoseconds
		Steps      int                        // Followed messages since the first snapshot; -1 if one was left out
		Backlog    []snapshot.Event           // queued events that the reducer has not processed
		Listener   int                        // index of the listener's descriptor
		Control    int                        // index of the control socket's listener; -1 for none
		Parts      map[string]cbor.RawMessage // states by the names of the parts
		Files      int                        // number of descriptors that follow
		Reload     bool                       // the configuration was reloaded since the new process was started; for builds that don't reload at every take-over
	}
	// Ahead announces so many descriptors that are sent ahead; 0 ends them.
	Ahead struct{ Files int }
	// State is the reducer's state at the hold.
	State struct{ Reducer []byte }
	// Go tells the new process that it owns everything.
	Go struct{}
	// Cancelled tells an external replacement that it owns nothing of what it was sent. If the pipe closed without it,
	// the replacement would conclude that this process is dead and that it owns everything.
	Cancelled struct{ Reason string }
)

// The kinds of the messages on the pipe. They are shared with processes of other versions.
const (
	kindHello = iota + 1
	kindTrialTaken
	kindDiffers
	kindReady
	kindActing
	kindRefused
	kindTrial
	kindFollowed
	kindParcel
	kindGo
	kindAheadTaken
	kindNeedState
	kindAhead
	kindState
	kindCancelled
)

// encode returns a message's kind and its CBOR encoding.
func encode(m any) (kind byte, text []byte, err error) {
	switch m.(type) {
	case Hello:
		kind = kindHello
	case TrialTaken:
		kind = kindTrialTaken
	case Differs:
		kind = kindDiffers
	case Ready:
		kind = kindReady
	case Acting:
		kind = kindActing
	case Refused:
		kind = kindRefused
	case Trial:
		kind = kindTrial
	case Followed:
		kind = kindFollowed
	case Parcel:
		kind = kindParcel
	case Go:
		kind = kindGo
	case AheadTaken:
		kind = kindAheadTaken
	case NeedState:
		kind = kindNeedState
	case Ahead:
		kind = kindAhead
	case State:
		kind = kindState
	case Cancelled:
		kind = kindCancelled
	default:
		return 0, nil, fmt.Errorf("upgrade: %T is not a message", m)
	}
	text, err = snapshot.Marshal(m)
	return kind, text, err
}

// decode decodes a message. If it is invalid, the error wraps snapshot.ErrFormat.
func decode(kind byte, text []byte) (any, error) {
	switch kind {
	case kindHello:
		return decodeAs[Hello](text)
	case kindTrialTaken:
		return decodeAs[TrialTaken](text)
	case kindDiffers:
		return decodeAs[Differs](text)
	case kindReady:
		return decodeAs[Ready](text)
	case kindActing:
		return decodeAs[Acting](text)
	case kindRefused:
		return decodeAs[Refused](text)
	case kindTrial:
		return decodeAs[Trial](text)
	case kindFollowed:
		return decodeAs[Followed](text)
	case kindParcel:
		return decodeAs[Parcel](text)
	case kindGo:
		return decodeAs[Go](text)
	case kindAheadTaken:
		return decodeAs[AheadTaken](text)
	case kindNeedState:
		return decodeAs[NeedState](text)
	case kindAhead:
		return decodeAs[Ahead](text)
	case kindState:
		return decodeAs[State](text)
	case kindCancelled:
		return decodeAs[Cancelled](text)
	}
	return nil, fmt.Errorf("%w: message of unknown kind %d", snapshot.ErrFormat, kind)
}

func decodeAs[T any](text []byte) (any, error) {
	var m T
	if err := snapshot.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	return m, nil
}
