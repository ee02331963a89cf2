#ifndef SEAM_FORECAST_H
#define SEAM_FORECAST_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_forecast - expected demand of a pool, in VMs
 * @mean: exponentially decayed mean
 * @peak: decayed peak, at least @mean
 * @duty: decayed fraction of the time that demand is closer to the peak than
 *        to the mean, 0 to 1
 * @last: latest demand
 * @at: time of the latest demand; 0 before the first one
 * @want: VMs that the pool should have
 * @shrink_at: when surplus VMs may leave; SEAM_NEVER if there is no surplus
 */
struct seam_forecast {
	double mean;
	double peak;
	double duty;
	double last;
	seam_time at;
	int64_t want;
	seam_time shrink_at;
};

/** seam_forecast_add() - add a sample: demand of @vms VMs at @now */
void seam_forecast_add(struct seam_forecast *f, double vms, seam_time now);

/** seam_forecast_burst() - ratio of peak to mean, at least 1 */
double seam_forecast_burst(const struct seam_forecast *f);

struct seam_size_policy;

/**
 * struct seam_size_policy_ops - trades idle VMs and moves against readiness
 * @want: VMs for a pool, before its bounds are applied
 * @spare: VMs for the spare pool shared by @n pools
 */
struct seam_size_policy_ops {
	int64_t (*want)(const struct seam_size_policy *s,
			const struct seam_forecast *f);
	int64_t (*spare)(const struct seam_size_policy *s,
			 const struct seam_forecast *f, size_t n);
};

/**
 * struct seam_size_policy - sizing policy; the vtable is the first member
 * @ops: behaviour
 * @headroom: VMs kept above the mean, in thousandths of the mean
 * @extra_peaks: concurrent peaks that the spare covers beyond the expected
 *               number
 * @shrink_delay_ms: how long a surplus has to last before VMs leave,
 * milliseconds
 * @move_ms: expected duration of a move, milliseconds
 * @moves: most concurrent moves out of one pool
 */
struct seam_size_policy {
	const struct seam_size_policy_ops *ops;
	int headroom;
	int extra_peaks;
	int64_t shrink_delay_ms;
	int64_t move_ms;
	int moves;
};

/** seam_size_ready() - preset that favours readiness */
const struct seam_size_policy *seam_size_ready(void);

/** seam_size_thrifty() - preset that favours few VMs and few moves */
const struct seam_size_policy *seam_size_thrifty(void);

/**
 * seam_size_update() - set @f->want and @f->shrink_at
 * @s: policy
 * @f: forecast
 * @min: minimum of VMs
 * @max: maximum of VMs
 * @have: VMs in the pool
 * @now: time
 *
 * Growth is immediate; a surplus is kept until it has lasted for
 * @s->shrink_delay_ms.
 */
void seam_size_update(const struct seam_size_policy *s, struct seam_forecast *f,
		      int64_t min, int64_t max, int64_t have, seam_time now);

#ifdef __cplusplus
}
#endif
#endif
