#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include "net/ReceivedBody.h"

namespace hickoryknot {

/// Body type for the parser of Beast.
struct ReceivedBodyType {
    using value_type = ReceivedBody; // NOLINT(readability-identifier-naming)

    class reader { // NOLINT(readability-identifier-naming)
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, ReceivedBody& body)
            : m_body(body)
        {
        }
        void init(const boost::optional<uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <class Buffers> size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            size_t size = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append({ static_cast<const char*>(buffer.data()), buffer.size() });
                size += buffer.size();
            }
            return size;
        }
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        ReceivedBody& m_body;
    };
};

} // namespace hickoryknot
