package dns

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// maxTTLSeconds is the maximum TTL of a record; see RFC 2181, section 8.
const maxTTLSeconds = 1<<31 - 1

// parse decodes a message that must be the answer to the query with the given ID. It returns errTruncated if the query
// must be repeated over TCP for the complete answer.
func parse(packed []byte, id uint16, question dnsmessage.Question, limits *Limits) (Answer, error) {
	var message dnsmessage.Message
	if err := message.Unpack(packed); err != nil {
		return Answer{}, err
	}
	if err := checkHeader(&message, id, question); err != nil {
		return Answer{}, err
	}
	r := answerReader{message: &message, limits: limits, ttl: limits.MaxTTL}
	queryName := strings.ToLower(question.Name.String())
	name, err := r.followAliases(queryName)
	if err != nil {
		return Answer{}, err
	}
	r.readAnswers(name)
	if len(r.answer.Targets) == 0 && r.answer.Dropped == 0 {
		r.readEmptyAnswer(queryName, name)
	}
	r.readAdditionals()
	r.answer.TTL = min(max(r.ttl, limits.MinTTL), limits.MaxTTL)
	return r.answer, nil
}

// checkHeader returns an error unless the message answers the query. The response code for a name that does not exist
// is not an error.
func checkHeader(message *dnsmessage.Message, id uint16, question dnsmessage.Question) error {
	switch {
	case message.ID != id:
		return fmt.Errorf("%w: it has the ID %d, want %d", errMismatch, message.ID, id)
	case !message.Response:
		return fmt.Errorf("%w: it is not a response", errMismatch)
	case len(message.Questions) != 1:
		return fmt.Errorf("%w: it has %d questions, want 1", errMismatch, len(message.Questions))
	case !sameQuestion(message.Questions[0], question):
		return fmt.Errorf("%w: its question is %v, want %v", errMismatch, message.Questions[0], question)
	case message.Truncated:
		return errTruncated
	}
	if message.RCode != dnsmessage.RCodeSuccess && message.RCode != dnsmessage.RCodeNameError {
		return fmt.Errorf("%w: %v", errServerFailure, message.RCode)
	}
	return nil
}

func sameQuestion(a, b dnsmessage.Question) bool {
	return a.Type == b.Type && a.Class == b.Class && strings.EqualFold(a.Name.String(), b.Name.String())
}

// answerReader builds an Answer from a message.
type answerReader struct {
	message *dnsmessage.Message
	limits  *Limits
	answer  Answer
	ttl     time.Duration // shortest TTL of the records used so far
}

// limitTTL limits the TTL of the answer to the TTL of a record. A TTL with the highest bit set counts as 0; see RFC
// 2181, section 8.
func (r *answerReader) limitTTL(seconds uint32) {
	if seconds > maxTTLSeconds {
		seconds = 0
	}
	r.ttl = min(r.ttl, time.Duration(seconds)*time.Second)
}

// followAliases returns the name at the end of the chain of aliases that starts with name.
func (r *answerReader) followAliases(name string) (string, error) {
	for numAliases := 0; ; numAliases++ {
		next := r.aliasOf(name)
		if next == "" {
			return name, nil
		}
		if numAliases == MaxAliases {
			return "", errAliasChain
		}
		name = next
	}
}

// aliasOf returns the target of the CNAME record of name; empty if the message has no such record.
func (r *answerReader) aliasOf(name string) string {
	next := ""
	for _, record := range r.message.Answers {
		alias, ok := record.Body.(*dnsmessage.CNAMEResource)
		if ok && strings.EqualFold(record.Header.Name.String(), name) {
			next = strings.ToLower(alias.CNAME.String())
			r.limitTTL(record.Header.TTL)
		}
	}
	return next
}

// readAnswers reads the records of name. SRV records are targets; A and AAAA records are the addresses of one target
// whose host is name.
func (r *answerReader) readAnswers(name string) {
	for _, record := range r.message.Answers {
		if !isRecordOf(&record, name) {
			continue
		}
		switch body := record.Body.(type) {
		case *dnsmessage.SRVResource:
			r.limitTTL(record.Header.TTL)
			r.addTarget(body)
		case *dnsmessage.AResource, *dnsmessage.AAAAResource:
			r.limitTTL(record.Header.TTL)
			if len(r.answer.Targets) == 0 {
				r.answer.Targets = append(r.answer.Targets, Target{Host: name})
			}
			addr, _ := addrOf(body)
			r.answer.addAddr(&r.answer.Targets[0], addr, r.limits)
		}
	}
}

// addTarget adds a target, unless it is invalid or exceeds the limits. The host "." means that the service is not
// available in the domain; see RFC 2782.
func (r *answerReader) addTarget(body *dnsmessage.SRVResource) {
	host := strings.ToLower(body.Target.String())
	if host == "." {
		return
	}
	if body.Port == 0 || !r.limits.allowsHost(host) || len(r.answer.Targets) >= r.limits.MaxTargets {
		r.answer.Dropped++
		return
	}
	r.answer.Targets = append(r.answer.Targets, Target{
		Host:     host,
		Port:     body.Port,
		Priority: body.Priority,
		Weight:   body.Weight,
	})
}

// readEmptyAnswer handles an answer without targets for name, the name at the end of the aliases of queryName. If name
// differs from queryName and the server has sent neither an error nor authority records, name must be looked up by
// another query. Otherwise, there are no targets.
func (r *answerReader) readEmptyAnswer(queryName, name string) {
	found := r.message.RCode == dnsmessage.RCodeSuccess
	if name != queryName && found && len(r.message.Authorities) == 0 {
		r.answer.Alias = name
		return
	}
	r.answer.NotFound = true
	r.ttl = negativeTTL(r.message.Authorities, r.limits)
}

// negativeTTL returns how long the answer that a name does not exist is valid: the minimum of the SOA record's TTL and
// its MINIMUM field; see RFC 2308. Without a SOA record it is Limits.MinTTL.
func negativeTTL(authorities []dnsmessage.Resource, limits *Limits) time.Duration {
	for _, record := range authorities {
		if soa, ok := record.Body.(*dnsmessage.SOAResource); ok {
			return time.Duration(min(record.Header.TTL, soa.MinTTL, maxTTLSeconds)) * time.Second
		}
	}
	return limits.MinTTL
}

// readAdditionals reads the addresses of targets from the additional section of the message.
func (r *answerReader) readAdditionals() {
	for _, record := range r.message.Additionals {
		addr, ok := addrOf(record.Body)
		if !ok {
			continue
		}
		for i := range r.answer.Targets {
			target := &r.answer.Targets[i]
			if target.Port == 0 || !isRecordOf(&record, target.Host) {
				continue
			}
			if r.answer.addAddr(target, addr, r.limits) {
				r.limitTTL(record.Header.TTL)
			}
		}
	}
}

// isRecordOf reports whether a record belongs to name and to the Internet class.
func isRecordOf(record *dnsmessage.Resource, name string) bool {
	return record.Header.Class == dnsmessage.ClassINET && strings.EqualFold(record.Header.Name.String(), name)
}

// addrOf returns the address of an A or AAAA record.
func addrOf(body dnsmessage.ResourceBody) (addr netip.Addr, ok bool) {
	switch body := body.(type) {
	case *dnsmessage.AResource:
		return netip.AddrFrom4(body.A), true
	case *dnsmessage.AAAAResource:
		return netip.AddrFrom16(body.AAAA).Unmap(), true
	}
	return netip.Addr{}, false
}
