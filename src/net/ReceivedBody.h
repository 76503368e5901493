#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hickoryknot {

/// The body of a request that is being received. Holds about the bytes that have arrived, in pieces: neither the
/// announced length nor the size of the chunks decides how much memory it takes.
class ReceivedBody {
public:
    void append(std::string_view bytes)
    {
        while (!bytes.empty()) {
            if (m_pieces.empty() || m_pieces.back().size() == pieceBytes)
                m_pieces.emplace_back();
            const auto part = bytes.substr(0, pieceBytes - m_pieces.back().size());
            m_pieces.back() += part;
            bytes.remove_prefix(part.size());
            m_size += part.size();
        }
    }

    size_t size() const { return m_size; }

    /// Returns the whole body and empties this object.
    std::string take()
    {
        std::string body;
        if (m_pieces.size() == 1) {
            body = std::move(m_pieces.front());
        } else {
            body.reserve(m_size);
            for (auto& piece : m_pieces) {
                body += piece;
                std::string().swap(piece);
            }
        }
        clear();
        return body;
    }

    void clear()
    {
        std::vector<std::string>().swap(m_pieces);
        m_size = 0;
    }

private:
    /// Below the size from which the allocator maps memory for each piece.
    static constexpr size_t pieceBytes = size_t { 16 } * 1024;

    std::vector<std::string> m_pieces;
    size_t m_size { 0 };
};

} // namespace hickoryknot
