package graphqlfront

import (
	"mime"
	"strconv"
	"strings"
)

// Media types of the GraphQL over HTTP specification.
const (
	jsonMediaType    = "application/json"
	graphqlMediaType = "application/graphql-response+json"
)

// acceptedType is a media type that the client accepts and this front can send.
type acceptedType struct {
	mediaType string
	quality   float64 // weight that the client assigns; above 0
	isExact   bool    // the client named the type instead of a wildcard
}

// isBetterThan reports whether a is preferred to best, the best of the types that come before a.
func (a acceptedType) isBetterThan(best acceptedType) bool {
	if a.quality != best.quality {
		return a.quality > best.quality
	}
	return a.isExact && (!best.isExact || a.mediaType == graphqlMediaType)
}

// negotiate chooses one of the two media types for the response, according to the Accept header. It returns false if
// the client accepts neither. Without the header, or if the client prefers neither, it chooses
// application/graphql-response+json. With this type, the status of the response tells whether anything was executed.
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

// parseAccepted parses an element of an Accept header. It returns false if the element is malformed, has a quality of 0
// or less, or names a type that this front cannot send.
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
