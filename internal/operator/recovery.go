package operator

// Recovery is what a sidecar does while its fleet comes back.
type Recovery struct {
	Ask  int64   `toml:"ask"`
	Fan  int64   `toml:"fan"`
	Rate float64 `toml:"rate"`
}

// check fills in the defaults and tells what cannot be used.
func (r *Recovery) check(fault func(key, format string, args ...any)) {
	number(fault, "recovery.ask", &r.Ask, 3, 1, 100)
	number(fault, "recovery.fan", &r.Fan, 16, 1, 32)
	if r.Rate == 0 {
		r.Rate = 10
	}
	if !(r.Rate >= 0.1 && r.Rate <= 10_000) {
		fault("recovery.rate", "%v is not from 0.1 to 10,000", r.Rate)
	}
}
