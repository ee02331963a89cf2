#ifndef MEASURES_H
#define MEASURES_H

/* The users' measures at the present fleet size, each with a baseline. */

#include <stdbool.h>

#include "process/forecast.h"

#define MEASURE_TEAMS 6
#define MEASURE_SERVICES 5

/*
 * struct deployment - one of the two users
 * @hop: one-way latency between data centres
 * @cores: cores of a worker
 * @size: sizing policy, as chosen by the setting "sizing"
 * @share: weights of the six workspaces' teams
 * @prefers_shares: shares and data centre change weigh more; otherwise buffer
 *                  cost and moves
 */
struct deployment {
	const char *name;
	seam_time hop;
	int cores;
	const struct seam_size_policy *(*size)(void);
	int64_t share[MEASURE_TEAMS];
	bool prefers_shares;
};

/* Instances of the five services: 50 in all. */
extern const int seam_measure_instances[MEASURE_SERVICES];

/* Random seed of the data centre change. */
extern uint64_t seam_measure_seed;

/* Ratio of a queue's rate at @now to its mean rate; queues peak in turn. */
double seam_measure_peak(int queue, seam_time now);

enum measure_weight {
	WEIGHT_NORMAL,
	WEIGHT_SHARES,
	WEIGHT_BUFFERS,
	WEIGHT_NONE
};

/*
 * Prints one line, fields separated by tabs: deployment, measure, unit, weight
 * (2: at least twice as good, 1: not worse, 0: for information), baseline,
 * system. Lower is better for all measures.
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
