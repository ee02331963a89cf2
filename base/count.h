#ifndef SEAM_COUNT_H
#define SEAM_COUNT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_count - a counter or gauge
 * @name: metric name; ends in _total for counters
 * @labels: text between the braces, or "" without labels
 * @help: help text, one sentence
 * @value: current value; changed by seam_count_add() and seam_count_set()
 * @registered: it is in the list that seam_count_write() writes
 * @next: next in that list
 *
 * Metrics are static objects of the modules that update them. They are
 * registered on first use and stay registered until the process ends.
 */
struct seam_count {
	const char *name;
	const char *labels;
	const char *help;
	int64_t value;
	int registered;
	struct seam_count *next;
};

#define SEAM_COUNT(var, name_, help_) \
	static struct seam_count var = {name_, "", help_, 0, 0, NULL}

/** seam_count_add() - add @n; thread-safe */
void seam_count_add(struct seam_count *c, int64_t n);

/** seam_count_set() - set a gauge; thread-safe */
void seam_count_set(struct seam_count *c, int64_t v);

int64_t seam_count_get(struct seam_count *c);

/** seam_count_write() - write all metrics in Prometheus text format */
void seam_count_write(FILE *f);

#ifdef __cplusplus
}
#endif
#endif
