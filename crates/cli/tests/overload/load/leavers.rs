//! Clients that leave before they have their answers.
