package rollout

import "math"

// tailProbability returns the probability that the new version has at least as many answers with a property as
// it has, if requests are assigned to versions at random and the versions do not differ. It is the one-sided
// exact conditional test for stratified two-by-two tables; with one table, Fisher's exact test.
func tailProbability(tables []comparison) float64 {
	observed, sum := 0, []float64{1}
	for _, table := range tables {
		if table.newAll == 0 || table.oldAll == 0 {
			continue
		}
		observed += table.newBad
		sum = convolve(sum, hypergeometric(table))
	}
	p := 0.0
	for i := len(sum) - 1; i >= observed && i >= 0; i-- {
		p += sum[i]
	}
	return min(p, 1)
}

// hypergeometric returns the probabilities of 0, 1, 2 and so on answers with the property at the new version,
// given the sums of the table's rows and columns.
func hypergeometric(c comparison) []float64 {
	all, bad := c.newAll+c.oldAll, c.newBad+c.oldBad
	most := min(c.newAll, bad)
	probabilities := make([]float64, most+1)
	ways := logBinomial(all, bad)
	for i := max(0, bad-c.oldAll); i <= most; i++ {
		probabilities[i] = math.Exp(logBinomial(c.newAll, i) + logBinomial(c.oldAll, bad-i) - ways)
	}
	return probabilities
}

func logBinomial(n, k int) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n int) float64 {
	value, _ := math.Lgamma(float64(n) + 1)
	return value
}

// convolve returns the probabilities of the sum of two independent counts.
func convolve(a, b []float64) []float64 {
	sum := make([]float64, len(a)+len(b)-1)
	for i, p := range a {
		if p == 0 {
			continue
		}
		for j, q := range b {
			sum[i+j] += p * q
		}
	}
	return sum
}
