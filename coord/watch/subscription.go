package watch

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Query parameters of a subscription.
const (
	excludedParameter = "without" // index of a part that is not sent; may be repeated
	deltasParameter   = "deltas"  // "true" if the subscriber accepts deltas for parts that it holds
	urgentParameter   = "urgent"  // "true" if other processes depend on the subscriber's progress
	heldParameter     = "held"    // INDEX:VERSION of a part that the subscriber holds; may be repeated
)

// heldSeparator separates the index of a part from its version.
const heldSeparator = ":"

// preferences is the hub's side of a Subscription, parsed from the request.
type preferences struct {
	excluded map[int]bool   // indexes of parts that are not sent
	deltas   bool           // the subscriber accepts deltas
	urgent   bool           // long frames are sent before those of subscribers that are not urgent
	held     map[int]string // versions that the subscriber holds, by part index
}

// Subscription describes what a hub sends to a subscriber. The zero value requests full values of all parts.
type Subscription struct {
	ExcludedParts []int          // indexes of parts that are not sent; part 0 cannot be excluded
	AcceptDeltas  bool           // changes of a part that the subscriber holds may be sent as deltas
	Urgent        bool           // long frames are sent before those of subscribers that are not urgent
	HeldVersions  map[int]string // Part.Version of each part that the subscriber already holds, by part index
}

// Query returns the subscription as a URL query with the leading question mark, or an empty string for the zero value.
func (s Subscription) Query() string {
	values := url.Values{}
	for _, index := range s.ExcludedParts {
		values.Add(excludedParameter, strconv.Itoa(index))
	}
	if s.AcceptDeltas {
		values.Set(deltasParameter, strconv.FormatBool(true))
	}
	if s.Urgent {
		values.Set(urgentParameter, strconv.FormatBool(true))
	}
	for index, version := range s.HeldVersions {
		values.Add(heldParameter, strconv.Itoa(index)+heldSeparator+version)
	}
	if len(values) == 0 {
		return ""
	}
	return "?" + values.Encode()
}

// parsePreferences reads the preferences from the query of a request. It ignores invalid parameters; the subscriber
// then gets more than it needs.
func parsePreferences(request *http.Request) preferences {
	query := request.URL.Query()
	preferences := preferences{excluded: map[int]bool{}, held: map[int]string{}}
	for _, value := range query[excludedParameter] {
		if index, err := strconv.Atoi(value); err == nil && index > 0 {
			preferences.excluded[index] = true
		}
	}
	for _, value := range query[heldParameter] {
		part, version, _ := strings.Cut(value, heldSeparator)
		if index, err := strconv.Atoi(part); err == nil {
			preferences.held[index] = version
		}
	}
	preferences.urgent, _ = strconv.ParseBool(query.Get(urgentParameter))
	preferences.deltas, _ = strconv.ParseBool(query.Get(deltasParameter))
	return preferences
}
