mod agreement;
