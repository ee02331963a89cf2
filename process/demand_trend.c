#include "process/demand_trend.h"

#include <math.h>

/* Time constant of the smoothing: two reads of the demand on a busy owner. */
#define SMOOTHING_TIME (600 * SEAM_MSEC)
/* Demands that are read closer together tell no slope. */
#define INTERVAL_MIN (50 * SEAM_MSEC)

void seam_demand_trend_add(struct seam_demand_trend *t, double value,
			   seam_time now)
{
	seam_time passed = now - t->at;
	double weight;
	double slope;

	if (!t->at) {
		*t = (struct seam_demand_trend){.value = value, .at = now};
		return;
	}
	if (passed < INTERVAL_MIN)
		return;
	weight = 1 - exp(-(double)passed / (double)SMOOTHING_TIME);
	slope = (value - t->value) * (double)SEAM_SEC / (double)passed;
	t->slope += weight * (slope - t->slope);
	t->value = value;
	t->at = now;
}

double seam_demand_trend_rise(const struct seam_demand_trend *t, seam_time lead)
{
	double rise = t->slope * (double)lead / (double)SEAM_SEC;

	if (rise <= 0)
		return 0;
	return rise < t->value ? rise : t->value;
}
