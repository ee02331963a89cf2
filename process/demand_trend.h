#ifndef SEAM_DEMAND_TREND_H
#define SEAM_DEMAND_TREND_H

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_demand_trend - slope of a demand
 * @value: latest demand
 * @slope: its smoothed change, a second
 * @at: time of @value; 0 before the first
 *
 * A VM serves its new pool about two seconds after it was ordered. Orders by
 * the demand of now follow a rise from below, and tasks wait until it ends. The
 * demand is extrapolated by its slope instead (Holt, "Forecasting seasonals and
 * trends by exponentially weighted moving averages", 1957), which is smoothed
 * by time, as demands are not read at even intervals.
 */
struct seam_demand_trend {
	double value;
	double slope;
	seam_time at;
};

/** seam_demand_trend_add() - take the demand @value at @now */
void seam_demand_trend_add(struct seam_demand_trend *t, double value,
			   seam_time now);

/**
 * seam_demand_trend_rise() - how much more the demand will be after @lead
 * @t: trend
 * @lead: time to look ahead, microseconds
 *
 * Return: 0 if it is not rising; at most the latest demand, as a short rise
 * tells nothing of the time after the demand has doubled.
 */
double seam_demand_trend_rise(const struct seam_demand_trend *t,
			      seam_time lead);

#ifdef __cplusplus
}
#endif
#endif
