// Window of starts over modelled links and processors.
#include <gtest/gtest.h>

#include <deque>

#include "process/start_window.h"

namespace
{
// A path that carries messages one after another, @us each, and answers @rtt
// later.
struct Path {
	seam_time us;
	seam_time rtt;
	seam_time free_at = 0;
	std::deque<std::pair<seam_time, seam_time>> starts; // answered, sent

	// Returns when a message of @cost times that of a start has passed.
	seam_time send(seam_time now, double cost)
	{
		free_at =
			std::max(free_at, now) + (seam_time)((double)us * cost);
		return free_at;
	}
};

struct Load {
	seam_start_window w;
	double backlog = 0;
	int answered = 0;
	seam_time longest_renewal = 0;
	int seed = 1;

	Load(int size, int min, int max)
	{
		seam_start_window_init(&w, size, min, max);
	}
	// Runs to @end in steps of 1 ms with @rate starts a second coming in.
	// Renewals of 130 workers, 0.3 s apart, take @renewal of a start each.
	void run(Path &p, seam_time from, seam_time end, double rate,
		 double renewal, int slow_percent = 0)
	{
		for (seam_time now = from; now < end; now += SEAM_MSEC) {
			backlog += rate / 1000;
			if (now % (300 * SEAM_MSEC) == 0)
				longest_renewal = std::max(
					longest_renewal,
					p.send(now, 130 * renewal) - now);
			while (!p.starts.empty() &&
			       p.starts.front().first <= now) {
				seam_time took = now - p.starts.front().second;

				if (seed++ % 100 < slow_percent)
					took += 500 * SEAM_MSEC;
				p.starts.pop_front();
				answered++;
				seam_start_window_answered(
					&w, took, (int)p.starts.size(), now);
			}
			while (backlog >= 1 &&
			       (double)p.starts.size() < w.size) {
				backlog--;
				p.starts.emplace_back(p.send(now, 1) + p.rtt,
						      now);
			}
		}
	}
};

// Guards against an overload that feeds itself: behind a queue of starts,
// leases were renewed late and lapsed, and the lapsed tasks were started again.
// A link of 250 KB/s, 640 bytes a start, 130 workers, five times the mean for 5
// s.
TEST(StartWindow, PeakOnANarrowLinkDelaysNoRenewal)
{
	const double link = 250e3 / 640; // starts a second
	const double mean = link / 3;
	const double renewal = 25.0 / 640;
	Path p = {(seam_time)(SEAM_SEC / link), 5 * SEAM_MSEC};
	Load l(256, 16, 1024);

	l.run(p, 0, 5 * SEAM_SEC, mean, renewal);
	int before = l.answered;
	l.run(p, 5 * SEAM_SEC, 10 * SEAM_SEC, 5 * mean, renewal);
	// Starts go on at the rate of the link, less the renewals.
	EXPECT_GT(l.answered - before, 5 * 0.9 * (link - 130 * renewal / 0.3));
	// A lease outlasts a renewal that is 1 s late, beside a takeover.
	EXPECT_LT(l.longest_renewal, 1 * SEAM_SEC);
	l.run(p, 10 * SEAM_SEC, 20 * SEAM_SEC, mean, renewal);
	EXPECT_LT(l.backlog, 1);
}

// Guards against a window that bounds the starts of a large fleet: 256 at 50 ms
// gave 4,600 a second with a third of the owner's processor used.
TEST(StartWindow, GrowsWhileAnswersComeFast)
{
	Path p = {SEAM_SEC / 10000, 50 * SEAM_MSEC};
	Load l(256, 16, 1024);

	l.run(p, 0, 10 * SEAM_SEC, 20000, 0);
	int before = l.answered;
	l.run(p, 10 * SEAM_SEC, 12 * SEAM_SEC, 20000, 0);
	EXPECT_GT(l.answered - before, 2 * 8500);
}

// Guards against a window that a few workers which do not answer make small.
TEST(StartWindow, FewSlowWorkersDoNotCutIt)
{
	Path p = {SEAM_SEC / 5000, 40 * SEAM_MSEC};
	Load l(256, 16, 1024);

	l.run(p, 0, 5 * SEAM_SEC, 4000, 0, 3);
	EXPECT_GE(l.w.size, 200);
}

// Guards against a window that stays small after a slow spell, and against one
// that grows without use.
TEST(StartWindow, RecoversAfterASlowSpell)
{
	Path slow = {SEAM_SEC / 50, 5 * SEAM_MSEC};
	Path fast = {SEAM_SEC / 5000, 5 * SEAM_MSEC};
	Load l(256, 16, 1024);

	l.run(slow, 0, 20 * SEAM_SEC, 1000, 0);
	EXPECT_LT(l.w.size, 40);
	int before = l.answered;
	l.run(fast, 20 * SEAM_SEC, 23 * SEAM_SEC, 5000, 0);
	EXPECT_GT(l.answered - before, 3 * 3000);
	l.backlog = 0;
	l.run(fast, 23 * SEAM_SEC, 24 * SEAM_SEC, 1, 0);
	double size = l.w.size;
	l.run(fast, 24 * SEAM_SEC, 45 * SEAM_SEC, 100, 0);
	EXPECT_LE(l.w.size, size + 2);
}

// Guards against a window that grows before an answer has shown a quick path.
TEST(StartWindow, DoesNotGrowBeforeAnAnswerWasQuick)
{
	seam_start_window w;

	seam_start_window_init(&w, 64, 8, 256);
	for (int i = 0; i < 64; i++)
		seam_start_window_answered(&w, 150 * SEAM_MSEC, 64, SEAM_SEC);
	EXPECT_EQ(w.size, 64);
}

// Guards against a window that opens late on a quick path.
TEST(StartWindow, GrowsFromTheFirstQuickAnswer)
{
	seam_start_window w;

	seam_start_window_init(&w, 64, 8, 256);
	seam_start_window_answered(&w, 5 * SEAM_MSEC, 64, SEAM_SEC);
	EXPECT_GT(w.size, 64);
}
} // namespace
