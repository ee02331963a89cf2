// Window of starts over modelled links and processors.
#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "process/answer_time.h"
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

// Starts whose calls time out and are repeated, as nodes send them. Calls queue
// for one link or processor, which also carries those that were given up.
struct Calls {
	struct Start {
		seam_start_end end;
		unsigned calls = 0;
		seam_time call_at = 0;
		seam_time gives_up_at = 0;
		unsigned queued = 0; // calls that are in the queue
		bool over = false;
	};
	seam_start_window w;
	std::mt19937 rng{1};
	seam_answer_time answer_time = {0};
	std::vector<Start> starts;
	std::vector<size_t> queue; // of the starts of the calls
	double backlog = 0;
	double served = 0; // calls, a fraction of the next one too
	size_t first = 0; // all starts before are over

	static constexpr unsigned CALLS_MAX = 7;
	static constexpr seam_time TIMEOUT = 150 * SEAM_MSEC;
	// Starts without an answer for longer no longer count as pending.
	static constexpr seam_time PENDING_MAX = 300 * SEAM_MSEC;

	Calls(int size, int min, int max)
	{
		seam_start_window_init(&w, size, min, max);
	}
	int pending(seam_time now)
	{
		int n = 0;

		while (first < starts.size() && starts[first].over)
			first++;
		for (size_t i = first; i < starts.size(); i++)
			n += !starts[i].over &&
			     now < starts[i].end.sent_at + PENDING_MAX;
		return n;
	}
	void call(size_t i, seam_time now)
	{
		Start &s = starts[i];

		s.call_at = now;
		s.gives_up_at = now + seam_answer_timeout(&answer_time, s.calls,
							  TIMEOUT);
		s.calls++;
		s.queued++;
		queue.push_back(i);
	}
	void end(Start &s, bool is_answered, seam_time now)
	{
		s.over = true;
		s.end.answered = is_answered;
		s.end.call_time = is_answered ? now - s.call_at : 0;
		seam_start_window_ended(&w, &s.end, pending(now), now);
	}
	// Serves the next call; its answer is of use only if the start has not
	// been called again since, and is lost in @lost_percent of the cases.
	void serve(bool in_order, int lost_percent, seam_time now)
	{
		size_t k = in_order ? 0 : rng() % queue.size();
		size_t i = queue[k];
		Start &s = starts[i];

		queue.erase(queue.begin() + (long)k);
		if (--s.queued || s.over || (int)(rng() % 100) < lost_percent)
			return;
		seam_answer_time_note(&answer_time, now - s.call_at);
		end(s, true, now);
	}
	// Runs to @end with as many starts as the window allows; @rate calls a
	// second are served.
	void run(seam_time from, seam_time end_at, double rate, bool in_order,
		 int lost_percent)
	{
		for (seam_time now = from; now < end_at; now += SEAM_MSEC) {
			served = std::min(served + rate / 1000,
					  1.0 + rate / 1000);
			for (; served >= 1 && !queue.empty(); served--)
				serve(in_order, lost_percent, now);
			for (size_t i = first; i < starts.size(); i++) {
				Start &s = starts[i];

				if (s.over || now < s.gives_up_at)
					continue;
				s.end.lost += now - s.call_at;
				if (s.calls == CALLS_MAX)
					end(s, false, now);
				else
					call(i, now);
			}
			for (int n = pending(now); n < w.size; n++) {
				starts.emplace_back();
				starts.back().end.sent_at = now;
				call(starts.size() - 1, now);
			}
		}
	}
};

// Guards against a window that lost answers make small.
TEST(StartWindow, LostAnswersDoNotCutIt)
{
	for (int lost : {20, 50, 90}) {
		Calls c(256, 16, 256);

		c.run(0, 2 * SEAM_SEC, 20000, true, lost);
		EXPECT_GE(c.w.size, 250) << lost;
	}
}

// Guards against a window that lost answers make small on a long path.
TEST(StartWindow, LostAnswersOnALongPathDoNotCutIt)
{
	for (int path_ms : {0, 1, 26, 40, 60}) {
		std::mt19937 rng(1);
		seam_start_window w;

		seam_start_window_init(&w, 256, 16, 1024);
		for (int i = 1; i <= 4000; i++) {
			seam_time now = i * SEAM_MSEC;
			seam_start_end s = {0, true, path_ms * SEAM_MSEC, 0};

			while (rng() % 10 < 7 && s.lost < 600 * SEAM_MSEC)
				s.lost += 100 * SEAM_MSEC;
			s.sent_at = now - s.lost - s.call_time;
			seam_start_window_ended(&w, &s, 256, now);
		}
		EXPECT_GE(w.size, 256) << path_ms;
	}
}

// Guards against a queue that is taken for lost answers as calls time out.
TEST(StartWindow, CallsThatTimeOutInAQueueCutIt)
{
	for (bool in_order : {true, false})
		for (int lost : {0, 50})
			for (int rate : {50, 400, 1500}) {
				Calls c(256, 16, 256);

				c.run(0, SEAM_SEC, 20000, in_order, lost);
				EXPECT_GE(c.w.size, 250);
				c.run(SEAM_SEC, 7 * SEAM_SEC, rate, in_order,
				      lost);
				EXPECT_LE(c.w.size, 85)
					<< "in order: " << in_order
					<< " lost: " << lost
					<< " rate: " << rate;
			}
}

// Guards against a queue in front of the calls that is taken for lost ones.
TEST(StartWindow, LateAnswersToSingleCallsCutIt)
{
	seam_start_window w;

	seam_start_window_init(&w, 256, 16, 1024);
	for (int i = 1; i <= 2000; i++) {
		seam_time now = i * SEAM_MSEC;
		seam_start_end s = {now - 300 * SEAM_MSEC, true, 5 * SEAM_MSEC,
				    0};

		seam_start_window_ended(&w, &s, 256, now);
	}
	EXPECT_LE(w.size, 100);
}

// Guards against a path without any answer that leaves the window open.
TEST(StartWindow, StartsWithoutAnyAnswerCutIt)
{
	seam_start_window w;

	seam_start_window_init(&w, 256, 16, 1024);
	for (int i = 1; i <= 4000; i++) {
		seam_time now = i * SEAM_MSEC;
		bool answered = i <= 200;
		seam_start_end s = {now - (answered ? 10 : 600) * SEAM_MSEC,
				    answered, 5 * SEAM_MSEC,
				    (answered ? 0 : 600) * SEAM_MSEC};

		seam_start_window_ended(&w, &s, 256, now);
	}
	EXPECT_LE(w.size, 100);
}
} // namespace
