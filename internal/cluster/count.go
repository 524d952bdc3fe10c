package cluster

import "time"

// How many sidecars to reckon with. How many servers each draws from, what a crossing weighs and when probes pay follow it; two
// halves of a fleet that each counted a half would load servers as a small fleet does. So it rises at once and falls late:
//
//   - until anybody was heard, what the setting says holds;
//   - who lives or is suspect counts, and who left of its own accord does not, from when the word came;
//   - who died counts on for fallAfter, and goes on counting while fewer than whole of all that count are alive: then it is
//     this member that may be cut off. When the dead are forgotten they count no more, in any case.
//
// Where view and setting disagree the view holds once it is settled: a setting that is higher gives way by a half each
// fallAfter, and one that is lower at once.
const (
	fallAfter = time.Minute
	whole     = 2.0 / 3
)

type counter struct {
	n     int
	told  float64 // what is left of the setting's word
	fell  time.Duration
	begun bool
	held  int // dead members that count
}

func newCounter(told int) counter { return counter{n: max(told, 1), told: float64(max(told, 1))} }

// retell takes another setting for the one that was told.
func (c *counter) retell(told int) { c.told = float64(max(told, 1)) }

// died notes that a member counts on although it does not live, and over that it does no more.
func (c *counter) died(x *member) {
	if x.State == Dead && !x.budget {
		x.budget = true
		c.held++
	}
}

func (c *counter) over(x *member) {
	if x.budget {
		x.budget = false
		c.held--
	}
}

// settle says what holds now, and whether it has changed.
func (c *counter) settle(now time.Duration, m *Core) (n int, changed bool) {
	if !m.joined {
		changed = c.n != int(c.told)
		c.n = int(c.told)
		return c.n, changed
	}
	if !c.begun {
		c.begun, c.fell = true, now
	}
	if now-c.fell >= fallAfter/8 { // eight steps a fallAfter: the setting's word falls evenly
		c.fell = now
		if float64(m.n()) > whole*float64(m.n()+c.held) {
			c.told *= 0.917 // a half in eight steps
			for _, x := range m.members {
				if x.budget && now-x.diedAt >= fallAfter {
					c.over(x)
				}
			}
		}
	}
	n = max(m.n()+c.held, int(c.told))
	changed = n != c.n
	c.n = n
	return n, changed
}
