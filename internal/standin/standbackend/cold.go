package standbackend

import "time"

// serviceTime returns how long one request takes when the server has run for age. After a cold start the factor falls
// linearly from ColdFactor to 1 within ColdFor.
func (c *Config) serviceTime(age time.Duration) time.Duration {
	if c.ColdFactor <= 1 || age >= c.ColdFor {
		return c.ServiceTime
	}
	cold := 1 - float64(age)/float64(c.ColdFor)
	factor := 1 + (c.ColdFactor-1)*cold
	return time.Duration(float64(c.ServiceTime) * factor)
}
