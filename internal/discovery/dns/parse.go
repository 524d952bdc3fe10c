package dns

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// maxSeconds is the longest valid TTL of a record; see RFC 2181, section 8.
const maxSeconds = 1<<31 - 1

// parse interprets a message as the answer to the query with the given ID. The error is errTruncated if the
// server has more to say over TCP.
func parse(text []byte, id uint16, question dnsmessage.Question, limits *Limits) (Answer, error) {
	var message dnsmessage.Message
	if err := message.Unpack(text); err != nil {
		return Answer{}, err
	}
	if err := checkHeader(&message, id, question); err != nil {
		return Answer{}, err
	}
	r := answerReader{message: &message, limits: limits, ttl: limits.MaxTTL}
	asked := strings.ToLower(question.Name.String())
	name, err := r.followAliases(asked)
	if err != nil {
		return Answer{}, err
	}
	r.readAnswers(name)
	if len(r.answer.Targets) == 0 && r.answer.Dropped == 0 {
		r.readEmptyAnswer(asked, name)
	}
	r.readAdditionals()
	r.answer.TTL = min(max(r.ttl, limits.MinTTL), limits.MaxTTL)
	return r.answer, nil
}

// checkHeader returns an error unless the message answers the question. A name that does not exist is an answer.
func checkHeader(message *dnsmessage.Message, id uint16, question dnsmessage.Question) error {
	if message.ID != id || !message.Response {
		return errOtherQuestion
	}
	if len(message.Questions) != 1 || !sameQuestion(message.Questions[0], question) {
		return errOtherQuestion
	}
	if message.Truncated {
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

// answerReader puts an answer together from a message.
type answerReader struct {
	message *dnsmessage.Message
	limits  *Limits
	answer  Answer
	ttl     time.Duration // the shortest of the records used so far
}

// limitTTL takes the lifetime of a record into account. One with its highest bit set is 0; see RFC 2181, section 8.
func (r *answerReader) limitTTL(seconds uint32) {
	if seconds > maxSeconds {
		seconds = 0
	}
	r.ttl = min(r.ttl, time.Duration(seconds)*time.Second)
}

// followAliases returns the name at the end of the chain of aliases that starts with name.
func (r *answerReader) followAliases(name string) (string, error) {
	for hops := 0; ; hops++ {
		next := r.aliasOf(name)
		if next == "" {
			return name, nil
		}
		if hops == MaxAliases {
			return "", errAliasChain
		}
		name = next
	}
}

// aliasOf returns the name that the given one is an alias of; empty if it is none.
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

// readAnswers reads the records of name: targets, or the addresses of one target.
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

// addTarget adds a target, unless it exceeds the limits. The host "." means that the service is decidedly not
// available at this domain; see RFC 2782.
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

// readEmptyAnswer reads an answer that has no records of name: asked is an alias whose target has to be looked
// up, or there are no such records.
func (r *answerReader) readEmptyAnswer(asked, name string) {
	found := r.message.RCode == dnsmessage.RCodeSuccess
	if name != asked && found && len(r.message.Authorities) == 0 {
		r.answer.Alias = name
		return
	}
	r.answer.NotFound = true
	r.ttl = negativeTTL(r.message.Authorities, r.limits)
}

// negativeTTL returns how long a name that does not exist is taken not to: the minimum of the SOA record's
// lifetime and its MINIMUM field; see RFC 2308.
func negativeTTL(authorities []dnsmessage.Resource, limits *Limits) time.Duration {
	for _, record := range authorities {
		if soa, ok := record.Body.(*dnsmessage.SOAResource); ok {
			return time.Duration(min(record.Header.TTL, soa.MinTTL, maxSeconds)) * time.Second
		}
	}
	return limits.MinTTL
}

// readAdditionals reads the addresses of targets that the server has added to its answer.
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

// isRecordOf reports whether a record is one of name in the Internet class.
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
