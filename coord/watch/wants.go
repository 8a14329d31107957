package watch

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Query parameters of a subscription.
const (
	withoutParameter = "without" // names, once for each, a part that the subscriber does without
	deltasParameter  = "deltas"  // "true" if the subscriber takes deltas for parts that it holds
	urgentParameter  = "urgent"  // "true" if others wait for what the subscriber does with the stream
	heldParameter    = "held"    // INDEX:VERSION, once for each part of which the subscriber holds a version
)

// heldSeparator stands between the index of a part and its version.
const heldSeparator = ":"

// wants is what a subscriber has asked for.
type wants struct {
	without map[int]bool   // parts that it does without
	deltas  bool           // it takes deltas
	urgent  bool           // its long frames go before those of others
	held    map[int]string // versions that it holds, by part
}

// Subscription tells a hub what a subscriber wants. The zero value is for all parts, always whole.
type Subscription struct {
	ExcludedParts []int          // parts that the subscriber does without
	AcceptDeltas  bool           // changes of a part that it holds may come as deltas
	Urgent        bool           // long frames go before those of subscribers that are not urgent
	HeldVersions  map[int]string // versions that it holds, by part (Part.Version)
}

// Query returns the subscription as the query of a URL, with its question mark; empty for the zero value.
func (s Subscription) Query() string {
	values := url.Values{}
	for _, index := range s.ExcludedParts {
		values.Add(withoutParameter, strconv.Itoa(index))
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

// wantsOf reads a subscription from its request. What can't be read is ignored: the subscriber gets more than it needs.
func wantsOf(request *http.Request) wants {
	query := request.URL.Query()
	wants := wants{without: map[int]bool{}, held: map[int]string{}}
	for _, value := range query[withoutParameter] {
		if index, err := strconv.Atoi(value); err == nil && index > 0 {
			wants.without[index] = true
		}
	}
	for _, value := range query[heldParameter] {
		part, version, _ := strings.Cut(value, heldSeparator)
		if index, err := strconv.Atoi(part); err == nil {
			wants.held[index] = version
		}
	}
	wants.urgent, _ = strconv.ParseBool(query.Get(urgentParameter))
	wants.deltas, _ = strconv.ParseBool(query.Get(deltasParameter))
	return wants
}
