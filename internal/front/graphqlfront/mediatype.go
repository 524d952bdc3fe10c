package graphqlfront

import (
	"mime"
	"strconv"
	"strings"
)

// The media types of the GraphQL over HTTP specification.
const (
	jsonMediaType    = "application/json"
	graphqlMediaType = "application/graphql-response+json"
)

// acceptedType is a media type that a client accepts and that this front can send.
type acceptedType struct {
	mediaType string
	quality   float64 // the weight that the client gives it, above 0
	isExact   bool    // it was named, and not matched by a wildcard
}

// isBetterThan reports whether a type is preferred to the best of those before it.
func (a acceptedType) isBetterThan(best acceptedType) bool {
	if a.quality != best.quality {
		return a.quality > best.quality
	}
	return a.isExact && (!best.isExact || a.mediaType == graphqlMediaType)
}

// negotiate chooses the media type of the response by the values of the Accept header. It returns false if the client
// accepts neither. Without the header, and if the client prefers none, it is the one whose status tells whether
// anything was executed.
func negotiate(accept []string) (mediaType string, ok bool) {
	if len(accept) == 0 {
		return graphqlMediaType, true
	}
	var best acceptedType
	for _, line := range accept {
		for item := range strings.SplitSeq(line, ",") {
			accepted, ok := parseAccepted(item)
			if ok && accepted.isBetterThan(best) {
				best = accepted
			}
		}
	}
	return best.mediaType, best.mediaType != ""
}

// parseAccepted parses an element of an Accept header. It returns false if the element is malformed, or if this front
// cannot send what it names.
func parseAccepted(item string) (accepted acceptedType, ok bool) {
	name, parameters, err := mime.ParseMediaType(strings.TrimSpace(item))
	if err != nil {
		return accepted, false
	}
	accepted = acceptedType{quality: 1}
	if text, ok := parameters["q"]; ok {
		if accepted.quality, err = strconv.ParseFloat(text, 64); err != nil {
			return accepted, false
		}
	}
	if accepted.quality <= 0 {
		return accepted, false
	}
	switch name {
	case graphqlMediaType, jsonMediaType:
		accepted.mediaType = name
		accepted.isExact = true
	case "*/*", "application/*":
		accepted.mediaType = graphqlMediaType
	default:
		return accepted, false
	}
	return accepted, true
}
