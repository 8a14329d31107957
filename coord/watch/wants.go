package watch

import (
	"net/http"
	"net/url"
	"strconv"
)

// Query parameters of a subscription.
const (
	withoutParameter = "without" // names, once for each, a part that the subscriber does without
	deltasParameter  = "deltas"  // "true" if the subscriber takes deltas for parts that it holds
)

// wants is what a subscriber has asked for.
type wants struct {
	without map[int]bool // parts that it does without
	deltas  bool         // it takes deltas
}

// Subscription tells a hub what a subscriber wants. The zero value is for all parts, always whole.
type Subscription struct {
	Without []int // parts that the subscriber does without
	Deltas  bool  // changes of a part that it holds may come as deltas
}

// Query returns the subscription as the query of a URL, with its question mark; empty for the zero value.
func (s Subscription) Query() string {
	values := url.Values{}
	for _, index := range s.Without {
		values.Add(withoutParameter, strconv.Itoa(index))
	}
	if s.Deltas {
		values.Set(deltasParameter, strconv.FormatBool(true))
	}
	if len(values) == 0 {
		return ""
	}
	return "?" + values.Encode()
}

// wantsOf reads a subscription from its request. What can't be read is ignored: the subscriber gets more than it needs.
func wantsOf(request *http.Request) wants {
	query := request.URL.Query()
	wants := wants{without: map[int]bool{}}
	for _, value := range query[withoutParameter] {
		if index, err := strconv.Atoi(value); err == nil && index > 0 {
			wants.without[index] = true
		}
	}
	wants.deltas, _ = strconv.ParseBool(query.Get(deltasParameter))
	return wants
}
