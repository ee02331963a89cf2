#ifndef SEAM_METRICS_H
#define SEAM_METRICS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_metric - a counter or gauge
 * @name: metric name; ends in _total for counters
 * @labels: text between the braces, or "" without labels
 * @help: help text, one sentence
 * @value: current value; changed by seam_metric_add() and seam_metric_set()
 * @registered: it is in the list that seam_metrics_write() writes
 * @next: next in that list
 *
 * Metrics are static objects of the modules that update them. They are
 * registered on first use and stay registered until the process ends.
 */
struct seam_metric {
	const char *name;
	const char *labels;
	const char *help;
	int64_t value;
	int registered;
	struct seam_metric *next;
};

#define SEAM_METRIC(var, name_, help_) \
	static struct seam_metric var = {name_, "", help_, 0, 0, NULL}

/** seam_metric_add() - add @n; thread-safe */
void seam_metric_add(struct seam_metric *c, int64_t n);

/** seam_metric_set() - set a gauge; thread-safe */
void seam_metric_set(struct seam_metric *c, int64_t v);

int64_t seam_metric_get(struct seam_metric *c);

/** seam_metrics_write() - write all metrics in Prometheus text format */
void seam_metrics_write(FILE *f);

#ifdef __cplusplus
}
#endif
#endif
