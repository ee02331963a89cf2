#ifndef MEASURE_H
#define MEASURE_H

/* Shared by the benchmarks: CPU time, heap use and least-squares fits. */

#include <malloc.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

/* xorshift64 (Marsaglia, 2003) with a fixed seed, so that runs repeat. */
static uint64_t seed __attribute__((unused)) = 88172645463325252ull;

static inline uint64_t rnd(void)
{
	seed ^= seed << 13;
	seed ^= seed >> 7;
	seed ^= seed << 17;
	return seed >> 11;
}

static inline int by_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns a percentile of @n sorted values, or 0 if @n is 0. */
static inline double percentile(const double *v, size_t n, int percent)
{
	return n ? v[n * (size_t)percent / 100] : 0;
}

/* CPU time of this thread in nanoseconds. */
static inline int64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/* CPU time in us for each of @rounds since cpu_ns() returned @start. */
static inline double since_us(int64_t start, int rounds)
{
	return (double)(cpu_ns() - start) / 1000 / rounds;
}

/* Allocated heap bytes, including mapped blocks. */
static inline size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Sums for the least-squares line y = a + b * x. */
struct fit {
	double n, x, y, xx, xy;
};

static inline void fit_add(struct fit *f, double x, double y)
{
	f->n++;
	f->x += x;
	f->y += y;
	f->xx += x * x;
	f->xy += x * y;
}

static inline double fit_slope(const struct fit *f)
{
	return (f->n * f->xy - f->x * f->y) / (f->n * f->xx - f->x * f->x);
}

static inline double fit_base(const struct fit *f)
{
	return (f->y - fit_slope(f) * f->x) / f->n;
}

static inline void fit_print(const char *what, const char *unit,
			     const char *per, const struct fit *f)
{
	printf("fit %-28s %12.3f %s + %.6f %s for each %s\n", what, fit_base(f),
	       unit, fit_slope(f), unit, per);
}

#endif
