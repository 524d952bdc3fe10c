package hollow

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The verbs of link steps.
const (
	stepCut  = "cut"
	stepSlow = "slow"
	stepLose = "lose"
	stepHeal = "heal"
)

// Apply applies a step of a script. The steps are:
//
//	cut A B         cuts the link between the areas A and B
//	slow A B 40ms   delays datagrams and streams on this link
//	lose A B 0.1    loses the given share of the link's datagrams
//	heal A B        removes the setting of an earlier step for A B
//	heal            removes all settings
//
// Each step replaces the setting of an earlier step for the same areas in the same order.
func (l *Links) Apply(step string) error {
	words := strings.Fields(step)
	if len(words) == 1 && words[0] == stepHeal {
		l.Heal()
		return nil
	}
	link, err := parseLink(words)
	if err == nil {
		err = l.Set(Area(words[1]), Area(words[2]), link)
	}
	if err != nil {
		return fmt.Errorf("link step %q: %w", step, err)
	}
	return nil
}

// parseLink returns the link that a step sets.
func parseLink(words []string) (link Link, err error) {
	if len(words) < 3 {
		return link, errors.New("too few words, want a verb and two areas")
	}
	verb, values := words[0], words[3:]
	wantValues := 0
	switch verb {
	case stepCut, stepHeal:
	case stepSlow, stepLose:
		wantValues = 1
	default:
		return link, fmt.Errorf("unknown verb %q, want cut, slow, lose or heal", verb)
	}
	if len(values) != wantValues {
		return link, fmt.Errorf("got %d words, want %d", len(words), 3+wantValues)
	}
	switch verb {
	case stepCut:
		link.Cut = true
	case stepSlow:
		link.Delay, err = time.ParseDuration(values[0])
	case stepLose:
		link.LossRate, err = strconv.ParseFloat(values[0], 64)
	}
	return link, err
}
