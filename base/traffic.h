#ifndef SEAM_TRAFFIC_H
#define SEAM_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_TRAFFIC_NAME_SIZE 40

/**
 * struct seam_traffic - calls of one kind to other programs
 * @name: path of the call without its query, and the table of a store call
 * @calls: number of calls
 * @sent: bytes sent, heads included
 * @received: bytes received, heads included
 * @time: time of all calls together
 */
struct seam_traffic {
	char name[SEAM_TRAFFIC_NAME_SIZE];
	int64_t calls;
	int64_t sent;
	int64_t received;
	seam_time time;
};

/** seam_traffic_add() - count a call to @path; thread-safe */
void seam_traffic_add(const char *path, int64_t sent, int64_t received,
		      seam_time time);

/**
 * seam_traffic_take() - sums since the previous call of this function
 * @out: receives the kinds with calls
 * @max: length of @out
 *
 * Return: the number of kinds.
 */
size_t seam_traffic_take(struct seam_traffic *out, size_t max);

/**
 * seam_traffic_format() - "NAME=CALLS/SENT/RECEIVED/MS" for each kind
 * @text: receives the kinds that fit, those with the most bytes first
 * @size: size of @text
 * @t: kinds; they are sorted
 * @n: number of kinds
 */
void seam_traffic_format(char *text, size_t size, struct seam_traffic *t,
			 size_t n);

#ifdef __cplusplus
}
#endif
#endif
