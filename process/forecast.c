#include "process/forecast.h"

#include <math.h>
#include <stdlib.h>

#define MEAN_TIME_CONSTANT (600.0 * SEAM_SEC)
/* Long enough that part of the previous day's peak still counts. */
#define PEAK_TIME_CONSTANT (6 * 3600.0 * SEAM_SEC)
#define DUTY_TIME_CONSTANT (3600.0 * SEAM_SEC)

void seam_forecast_add(struct seam_forecast *f, double vms, seam_time now)
{
	double dt = (double)(now - f->at);
	double near_peak;
	double decay;

	if (!f->at) {
		f->mean = vms;
		f->peak = vms;
		f->shrink_at = SEAM_NEVER;
	}
	f->last = vms;
	if (dt > 0 && f->at) {
		near_peak = vms > (f->mean + f->peak) / 2 ? 1 : 0;
		decay = exp(-dt / DUTY_TIME_CONSTANT);
		f->duty = f->duty * decay + near_peak * (1 - decay);
		f->mean +=
			(vms - f->mean) * (1 - exp(-dt / MEAN_TIME_CONSTANT));
		f->peak = f->mean +
			  (f->peak - f->mean) * exp(-dt / PEAK_TIME_CONSTANT);
	}
	f->peak = fmax(f->peak, fmax(vms, f->mean));
	f->at = now;
}

double seam_forecast_burst(const struct seam_forecast *f)
{
	return f->mean > 0 ? fmax(1, f->peak / f->mean) : 1;
}

static int64_t want(const struct seam_size_policy *s,
		    const struct seam_forecast *f)
{
	double base = f->mean * (1 + s->headroom / 1000.0);

	return (int64_t)ceil(fmax(fmin(base, f->peak), f->last) - 1e-9);
}

static int compare_descending(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x < y) - (x > y);
}

/*
 * A queue at its peak is already counted in its pool's own demand, so the spare
 * covers the queues that may start to peak before a move completes.
 */
static int64_t spare(const struct seam_size_policy *s,
		     const struct seam_forecast *f, size_t n)
{
	double *excess = calloc(n + 1, sizeof(*excess));
	double window = (double)s->move_ms * SEAM_MSEC / DUTY_TIME_CONSTANT;
	double expected = 0;
	double sum = 0;
	size_t k;
	size_t i;

	for (i = 0; excess && i < n; i++) {
		double have = fmax(f[i].last, f[i].mean);

		excess[i] = fmax(0, f[i].peak - have);
		if (excess[i] > 0)
			expected += fmin(1, f[i].duty + window);
	}
	if (excess && n) {
		qsort(excess, n, sizeof(*excess), compare_descending);
		k = (size_t)ceil(expected - 1e-9) + (size_t)s->extra_peaks;
		for (i = 0; i < k && i < n; i++)
			sum += excess[i];
	}
	free(excess);
	return (int64_t)ceil(sum - 1e-9);
}

static const struct seam_size_policy_ops ops = {
	.want = want,
	.spare = spare,
};

const struct seam_size_policy *seam_size_ready(void)
{
	static const struct seam_size_policy ready = {
		.ops = &ops,
		.headroom = 500,
		.extra_peaks = 1,
		.shrink_delay_ms = 900000,
		.move_ms = 120000,
		.moves = 32,
	};

	return &ready;
}

const struct seam_size_policy *seam_size_thrifty(void)
{
	static const struct seam_size_policy thrifty = {
		.ops = &ops,
		.headroom = 100,
		.extra_peaks = 0,
		.shrink_delay_ms = 300000,
		.move_ms = 120000,
		.moves = 8,
	};

	return &thrifty;
}

void seam_size_update(const struct seam_size_policy *s, struct seam_forecast *f,
		      int64_t min, int64_t max, int64_t have, seam_time now)
{
	int64_t w = s->ops->want(s, f);

	w = w < min ? min : w;
	w = w > max ? max : w;
	if (w >= have) {
		f->want = w;
		f->shrink_at = SEAM_NEVER;
		return;
	}
	if (f->shrink_at == SEAM_NEVER || !f->shrink_at)
		f->shrink_at = now + s->shrink_delay_ms * SEAM_MSEC;
	f->want = now >= f->shrink_at ? w : have > max ? max : have;
}
