package upgrade

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"foldlb.example/foldlb/internal/snapshot"
)

// Protocol is the version of what giver and taker say to each other.
const Protocol = 2

const ownSchema = snapshot.Schema

// What the new process says.
type (
	// Hello is its first word.
	Hello struct {
		Protocol int
		Schema   uint16
		Version  string
		PID      int
	}
	// TrialTaken says that it has taken up the first snapshot.
	TrialTaken struct{ Bytes int }
	// Differs says that its decisions while following were not the old process's.
	Differs struct {
		Steps int
		First string
	}
	// AheadTaken says that it has taken the descriptors that were passed on ahead.
	AheadTaken struct{}
	// NeedState says that it could not follow to the last step, and needs the reducer's state.
	NeedState struct{}
	// Ready says that it has taken up everything and waits for the word to go.
	Ready struct{ Followed, Differed int }
	// Acting is its last word: from here on it owns everything.
	Acting struct{}
	// Refused says why it can't.
	Refused struct{ Reason string }
)

// What the old process says.
type (
	// Trial is a snapshot to rehearse with.
	Trial struct{ Reducer []byte }
	// Followed is one step of the old process.
	Followed struct {
		Now    float64
		Event  snapshot.Event
		Digest uint64 // of its effects
	}
	// Parcel is everything. Its descriptors travel beside it.
	Parcel struct {
		Generation int
		Started    int64   // Unix nanoseconds of the first generation's start
		Clock      float64 // the dispatcher's clock, in seconds
		Monotonic  int64   // CLOCK_MONOTONIC at that, in nanoseconds
		Steps      int     // that were told since the first snapshot; -1 where one was left out
		Backlog    []snapshot.Event
		Listener   int
		Control    int // place of the control socket's listener; -1 for none
		Parts      map[string]cbor.RawMessage
		Files      int
		Reload     bool // the configuration was read again since the new process was started
	}
	// Ahead says that so many descriptors pass on ahead.
	Ahead struct{ Files int }
	// State is the reducer's state at the hold.
	State struct{ Reducer []byte }
	// Go tells the new process that everything is its own.
	Go struct{}
	// Cancelled tells a newcomer that nothing of what it was sent is its own. Danger: a pipe that just ended would say
	// that this process has died, and that everything is.
	Cancelled struct{ Reason string }
)

// kinds numbers the messages on the pipe.
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

// encode writes a message down.
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
		return 0, nil, fmt.Errorf("upgrade: %T is no message", m)
	}
	text, err = snapshot.Marshal(m)
	return kind, text, err
}

// decode reads a message. What is not one is an error that wraps snapshot.ErrForm.
func decode(kind byte, text []byte) (any, error) {
	switch kind {
	case kindHello:
		return as[Hello](text)
	case kindTrialTaken:
		return as[TrialTaken](text)
	case kindDiffers:
		return as[Differs](text)
	case kindReady:
		return as[Ready](text)
	case kindActing:
		return as[Acting](text)
	case kindRefused:
		return as[Refused](text)
	case kindTrial:
		return as[Trial](text)
	case kindFollowed:
		return as[Followed](text)
	case kindParcel:
		return as[Parcel](text)
	case kindGo:
		return as[Go](text)
	case kindAheadTaken:
		return as[AheadTaken](text)
	case kindNeedState:
		return as[NeedState](text)
	case kindAhead:
		return as[Ahead](text)
	case kindState:
		return as[State](text)
	case kindCancelled:
		return as[Cancelled](text)
	}
	return nil, fmt.Errorf("%w: message of unknown kind %d", snapshot.ErrFormat, kind)
}

func as[T any](text []byte) (any, error) {
	var m T
	if err := snapshot.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	return m, nil
}
