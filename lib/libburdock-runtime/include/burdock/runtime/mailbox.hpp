#pragma once

#include <burdock/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace burdock::runtime {

/**
 * @brief A queue that passes messages from any thread to one coroutine.
 *
 * Owned by shared pointers, as a sender may still use the mailbox after the coroutine has ended.
 */
template <typename Message>
class Mailbox : public std::enable_shared_from_this<Mailbox<Message>>
{
public:
    /** @param strand executor of the receiving coroutine; must not run handlers on two threads at once */
    explicit Mailbox(const boost::asio::any_io_executor &strand)
        : m_strand(strand)
        , m_timer(strand)
    {
    }

    /** @brief Adds a message. Thread-safe. */
    void push(Message message)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
        }
        boost::asio::post(m_strand, [self = this->shared_from_this()] { self->m_timer.cancel(); });
    }

    /** @brief Waits for the next message; nullopt once the deadline has passed. Call it only on the strand. */
    boost::asio::awaitable<std::optional<Message>> receive(TimePoint deadline)
    {
        while (true) {
            if (auto message = take()) {
                co_return message;
            }
            if (std::chrono::steady_clock::now() >= deadline) {
                co_return std::nullopt;
            }
            m_timer.expires_at(deadline);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

private:
    std::optional<Message> take()
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.empty()) {
            return std::nullopt;
        }
        std::optional<Message> message(std::move(m_messages.front()));
        m_messages.pop_front();
        return message;
    }

    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    std::mutex m_mutex;
    std::deque<Message> m_messages;
};

} // namespace burdock::runtime
