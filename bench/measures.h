#ifndef MEASURES_H
#define MEASURES_H

/* The users' measures at today's size, each beside its plain baseline. */

#include <stdbool.h>

#include "process/forecast.h"

#define MEASURE_TEAMS 6
#define MEASURE_SERVICES 5

/*
 * struct deployment - one of the two users
 * @hop: one way between data centres
 * @cores: of a worker
 * @size: sizing policy, by the setting "sizing"
 * @share: weights of the six workspaces' teams
 * @weighs_shares: shares and data centre change weigh more; else buffer cost
 *                 and moves
 */
struct deployment {
	const char *name;
	seam_time hop;
	int cores;
	const struct seam_size_policy *(*size)(void);
	int64_t share[MEASURE_TEAMS];
	bool weighs_shares;
};

/* Instances of the five services: 50 in all. */
extern const int seam_measure_instances[MEASURE_SERVICES];

/* Seed of the random numbers of the data centre change. */
extern uint64_t seam_measure_seed;

/* Rate of a queue against its mean at @now: queues peak in turn. */
double seam_measure_peak(int queue, seam_time now);

enum measure_weight { PLAIN_WEIGHT, SHARES_WEIGH, BUFFERS_WEIGH, NO_AIM };

/*
 * Prints one line, fields separated by tabs: deployment, measure, unit, weight
 * (2: at least twice as good, 1: not worse, 0: for information), baseline,
 * system. Less is better in all of them.
 */
void seam_measure_print(const struct deployment *d, const char *measure,
			const char *unit, enum measure_weight w,
			double baseline, double system);

void seam_measure_buffers(const struct deployment *d);
void seam_measure_waves(const struct deployment *d);
void seam_measure_shares(const struct deployment *d);
void seam_measure_dc(const struct deployment *d);
void seam_measure_urgent(const struct deployment *d);

#endif
