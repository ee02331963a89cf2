#ifndef SCRIPTED_SERVER_H
#define SCRIPTED_SERVER_H

// An HTTP server that gives one prepared answer after the other.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

struct ScriptedServer {
	struct Answer {
		int status; // 0 closes the connection without an answer
		std::string body;
	};
	std::vector<Answer> answers;
	std::atomic<size_t> requests{0};
	std::string latest; // request
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::string addr;
	std::thread thread;

	explicit ScriptedServer(std::vector<Answer> a) : answers(std::move(a))
	{
		sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd, (sockaddr *)&at, sizeof(at)), 0);
		EXPECT_EQ(listen(fd, 4), 0);
		getsockname(fd, (sockaddr *)&at, &len);
		addr = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
		thread = std::thread([this] { serve(); });
	}
	~ScriptedServer()
	{
		shutdown(fd, SHUT_RDWR);
		thread.join();
		close(fd);
	}
	void serve()
	{
		int c;

		while ((c = accept(fd, nullptr, nullptr)) >= 0) {
			while (read_request(c) && answer(c))
				;
			close(c);
		}
	}
	// Reads one request, whose body is small and has a length.
	bool read_request(int c)
	{
		std::string in;
		char buf[1000];
		ssize_t n;
		size_t head;
		size_t at;

		while ((n = recv(c, buf, sizeof(buf), 0)) > 0) {
			in.append(buf, (size_t)n);
			head = in.find("\r\n\r\n");
			at = in.find("Content-Length: ");
			if (head == std::string::npos)
				continue;
			if (at == std::string::npos ||
			    in.size() >=
				    head + 4 + (size_t)atol(&in[at + 16])) {
				latest = in;
				return true;
			}
		}
		return false;
	}
	bool answer(int c)
	{
		size_t i = requests++;

		if (i >= answers.size() || !answers[i].status)
			return false;
		const std::string &b = answers[i].body;
		std::string out =
			"HTTP/1.1 " + std::to_string(answers[i].status) +
			" -\r\nContent-Length: " + std::to_string(b.size()) +
			"\r\n\r\n" + b;
		return send(c, out.data(), out.size(), MSG_NOSIGNAL) ==
		       (ssize_t)out.size();
	}
};

#endif
