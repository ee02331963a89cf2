/*
 * The users' measures for both deployments, with simple baselines from the same
 * run, under a simulated clock and a fixed seed. bench/measures.py prints the
 * table and draws the chart.
 * usage: measures_bench [buffers|waves|shares|dc|urgent [SEED]]
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "bench/measures.h"

#define PEAK (10 * SEAM_SEC)

const int seam_measure_instances[MEASURE_SERVICES] = {8, 9, 10, 11, 12};

uint64_t seam_measure_seed = 88172645463325252ull;

double seam_measure_peak(int queue, seam_time now)
{
	return now / PEAK % MEASURE_SERVICES == queue ? 5 : 1 / 20.0;
}

void seam_measure_print(const struct deployment *d, const char *measure,
			const char *unit, enum measure_weight w,
			double baseline, double system)
{
	bool twice = w == (d->prefers_shares ? WEIGHT_SHARES : WEIGHT_BUFFERS);

	printf("%s\t%s\t%s\t%d\t%.4f\t%.4f\n", d->name, measure, unit,
	       w == WEIGHT_NONE ? 0 : 1 + twice, baseline, system);
}

static const struct deployment deployments[] = {
	{.name = "Pathshala",
	 .hop = 1400,
	 .cores = 64,
	 .size = seam_size_ready,
	 .share = {4, 4, 2, 1, 1, 1},
	 .prefers_shares = true},
	{.name = "Arhivna Kotva",
	 .hop = 900,
	 .cores = 32,
	 .size = seam_size_thrifty,
	 .share = {4, 3, 1, 1, 1, 1}},
};

static const struct {
	const char *name;
	void (*run)(const struct deployment *d);
} measures[] = {
	{"buffers", seam_measure_buffers}, {"waves", seam_measure_waves},
	{"shares", seam_measure_shares},   {"dc", seam_measure_dc},
	{"urgent", seam_measure_urgent},
};

int main(int argc, char **argv)
{
	size_t d;
	size_t m;

	if (argc > 2)
		seam_measure_seed = strtoull(argv[2], NULL, 10);
	setvbuf(stdout, NULL, _IOLBF, 0);
	seam_log_set_level(SEAM_ERROR);
	for (d = 0; d < sizeof(deployments) / sizeof(*deployments); d++)
		for (m = 0; m < sizeof(measures) / sizeof(*measures); m++)
			if (argc < 2 || !strcmp(argv[1], measures[m].name))
				measures[m].run(&deployments[d]);
	return 0;
}
