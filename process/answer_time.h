#ifndef SEAM_ANSWER_TIME_H
#define SEAM_ANSWER_TIME_H

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Answers that take longer wait in a queue, which more calls would lengthen. */
#define SEAM_QUICK_ANSWER_MAX (25 * SEAM_MSEC)

/**
 * struct seam_answer_time - how long a worker takes to answer a call
 * @estimate: rises at once with a slower answer and falls with quicker ones; 0
 *     before the first answer
 *
 * A call without an answer is repeated, so how soon it is given up decides how
 * often it is sent in the time that it has, and how long the calls behind it
 * wait. A worker that only answers slowly must not get each call several times,
 * so the time follows its answers, as the retransmission timer of RFC 6298
 * does, and every fourth try has the longest time.
 */
struct seam_answer_time {
	seam_time estimate;
};

/** seam_answer_time_note() - a call was answered after @took */
void seam_answer_time_note(struct seam_answer_time *a, seam_time took);

/**
 * seam_answer_timeout() - how long to wait for the answer to a repeated call
 * @a: times of the worker
 * @tries: calls without an answer right before
 * @longest: longest wait
 *
 * Return: a time, @longest at most.
 */
seam_time seam_answer_timeout(const struct seam_answer_time *a, unsigned tries,
			      seam_time longest);

#ifdef __cplusplus
}
#endif
#endif
